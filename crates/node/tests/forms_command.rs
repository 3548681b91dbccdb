//! The form of the command line of `yokespoked`.
//!
//! Exit codes and messages of `--check` stand in `gateway_settings.rs` and `process/check.rs`.

use assert_cmd::Command;

const HELP: &str = include_str!("forms/help.txt");

const WRONG_USE: &str = include_str!("forms/wrong-use.txt");

fn yokespoked(arguments: &[&str]) -> assert_cmd::assert::Assert {
    Command::new(env!("CARGO_BIN_EXE_yokespoked")).args(arguments).assert()
}

#[test]
fn help_and_version() {
    yokespoked(&["-h"]).code(0).stdout(HELP).stderr("");
    yokespoked(&["--help"]).code(0).stdout(HELP).stderr("");
    let version = format!("yokespoked {}\n", env!("CARGO_PKG_VERSION"));
    yokespoked(&["-V"]).code(0).stdout(version.clone());
    yokespoked(&["--version"]).code(0).stdout(version);
}

#[test]
fn wrong_use_ends_with_2() {
    yokespoked(&[]).code(2).stdout("").stderr(WRONG_USE);
}

#[test]
fn bad_settings_end_with_2_without_check_too() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    for (name, text) in [("node.yaml", "colour: blue\n"), ("gateway.yaml", "role: gateway\n")] {
        let file = folder.path().join(name);
        std::fs::write(&file, text).expect("the settings are written");
        let file = file.to_str().expect("the path is UTF-8");
        yokespoked(&["-s", file]).code(2).stdout("");
        yokespoked(&["--settings", file, "--check"]).code(2).stdout("");
    }
}
