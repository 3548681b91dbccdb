//! Nodes that send answers without end to the operators' tool.

use std::net;
use std::time::Duration;

use assert_cmd::Command;
use standin::raw;

/// Time by which the tool has ended, on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);

/// Runs the tool against a node that answers `head` and then bytes without end.
fn run(command: &[&str], head: &'static str) -> assert_cmd::assert::Assert {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let node = raw::Server::start(net::Ipv4Addr::LOCALHOST, move |_| {
        let bytes = format!("HTTP/1.1 200 OK\r\n{head}\r\n").into_bytes();
        raw::Answer { bytes, end: raw::End::Endless }
    });
    let node = runtime.block_on(node).expect("the node starts");
    let token = tempfile::NamedTempFile::new().expect("a file can be made");
    Command::new(env!("CARGO_BIN_EXE_yokespoke"))
        .args(command)
        .arg("--server")
        .arg(node.address.to_string())
        .arg("--token-file")
        .arg(token.path())
        .timeout(PATIENCE)
        .assert()
}

/// Guards against a tool that keeps all that it is sent until it runs out of memory.
#[test]
fn an_answer_without_end_is_refused() {
    for head in ["", "Content-Length: 999999999999999\r\n"] {
        let ended = run(&["get", "services"], head).code(1);
        let told = String::from_utf8_lossy(&ended.get_output().stderr).into_owned();
        assert!(told.contains("length limit exceeded"), "{told}");
    }
}

/// Guards against the same in a line of a watch.
#[test]
fn a_line_of_a_watch_without_end_is_refused() {
    let ended = run(&["watch", "services"], "").code(1);
    let told = String::from_utf8_lossy(&ended.get_output().stderr).into_owned();
    assert!(told.contains("a line of more than 16 MB"), "{told}");
}
