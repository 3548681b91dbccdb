//! Faults that are known and not mended yet.
//!
//! Each test fails for the fault that it names, and is listed with its cause in KNOWN-RED.txt.

use http::header;
use node::gateway::dialect::Dialect;
use node::gateway::proxy::answer;

/// `Retry-After` is a whole number of seconds (RFC 9110, section 10.2.3).
#[test]
fn known_fault_retry_after_of_the_own_dialect_is_in_whole_seconds() {
    let answer = answer::make(answer::Reason::NoConfiguration, Dialect::Own);
    let after = answer.headers().get(header::RETRY_AFTER).expect("the answer says when to retry");
    let after = after.to_str().expect("it is text");
    assert!(after.parse::<u64>().is_ok(), "{after}");
}
