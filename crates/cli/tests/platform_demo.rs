//! The demo of gateways on the platform keeps every promise.

use assert_cmd::Command;
use predicates::prelude::PredicateBooleanExt as _;
use predicates::str::{contains, starts_with};

#[test]
fn every_promise_is_kept() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yokespoke"));
    let assert = command.args(["demo", "--platform", "--seconds", "10", "--json"]).assert();
    // Results alone go to standard output, so that a program can read them.
    assert.code(0).stdout(starts_with("{").and(contains("\"every_promise_kept\":true")));
}
