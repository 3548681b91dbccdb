//! `yokespoke check` over several paths.

use assert_cmd::Command;

const PLACE: &str = "kind: place\nname: coast\nblocks: [10.1.0.0/16]\n\
                     links: [{region: dakar, delay: 3ms}]\n";

/// A resource may be declared once; within one file or folder the check says so.
#[test]
fn check_refuses_a_resource_that_two_paths_declare() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    let files = ["first.yaml", "second.yaml"].map(|name| folder.path().join(name));
    for file in &files {
        std::fs::write(file, PLACE).expect("the declarations are written");
    }
    Command::new(env!("CARGO_BIN_EXE_yokespoke")).arg("check").args(&files).assert().code(2);
}
