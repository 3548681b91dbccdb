//! The demo of gateways on the platform keeps every promise.

use assert_cmd::Command;
use predicates::str::contains;

#[test]
fn every_promise_is_kept() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yokespoke"));
    let assert = command.args(["demo", "--platform", "--seconds", "10", "--json"]).assert();
    assert.code(0).stdout(contains("\"every_promise_kept\":true"));
}
