//! `yokespoked --check`.

use assert_cmd::Command;
use predicates::str;

const VALID: &str = "node: a\nregion: dakar\nhall: dakar-1\n\
                     listen: { callers: \"127.0.0.1:0\", operators: \"127.0.0.1:0\", \
                     peers: \"127.0.0.1:0\" }\nstore: \"127.0.0.1:1\"\n";

fn check(settings: &str) -> assert_cmd::assert::Assert {
    let file = tempfile::NamedTempFile::new().expect("a file can be made");
    std::fs::write(file.path(), settings).expect("the settings are written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_yokespoked"));
    command.arg("--check").arg("--settings").arg(file.path()).assert()
}

#[test]
fn valid_settings_pass() {
    check(VALID).success().stdout(str::contains("settings of node a are valid"));
}

#[test]
fn a_fault_names_file_line_and_field() {
    let unknown = format!("{VALID}colour: blue\n");
    check(&unknown).code(2).stderr(str::contains(":6: ").and(str::contains("colour")));
    let wrong = VALID.replace("\"127.0.0.1:1\"", "nowhere");
    check(&wrong).code(2).stderr(str::contains("store").and(str::contains(":5: ")));
    let missing = VALID.replace("hall: dakar-1\n", "");
    check(&missing).code(2).stderr(str::contains("hall"));
    let name = VALID.replace("node: a", "node: \"a b\"");
    check(&name).code(2).stderr(str::contains("node: expected 1 to 63 letters"));
    let hash = format!("{VALID}operators: [{{ name: x, token_sha256: abc }}]\n");
    check(&hash).code(2).stderr(str::contains("operators[0].token_sha256"));
    let limit = format!("{VALID}limits: {{ requests: 0 }}\n");
    check(&limit).code(2).stderr(str::contains("limits.requests: expected at least 1"));
}

#[test]
fn a_missing_file_is_named() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yokespoked"));
    let assert = command.args(["--check", "--settings", "no-such-file.yaml"]).assert();
    assert.code(2).stderr(str::contains("cannot read settings no-such-file.yaml"));
}

use predicates::prelude::PredicateBooleanExt as _;
