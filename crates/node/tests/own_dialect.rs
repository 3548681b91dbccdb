//! What callers of yokespoke's own dialect may rely on.

use http::{HeaderValue, Response, header};
use node::common::body;
use node::common::head as names;
use node::gateway::dialect::Dialect;
use node::gateway::proxy::{answer, relay};

/// In yokespoke's own dialect only yokespoke may say whether a request has run.
#[test]
fn a_verdict_that_an_upstream_forges_is_removed() {
    let mut upstream = Response::new(());
    upstream.headers_mut().insert(names::VERDICT, HeaderValue::from_static("not-run"));
    let answer = relay::answer(upstream, body::empty());
    assert!(!answer.headers().contains_key(names::VERDICT));
}

/// `Retry-After` is a whole number of seconds (RFC 9110, section 10.2.3).
#[test]
fn retry_after_is_in_whole_seconds() {
    let answer = answer::make(answer::Reason::NoConfiguration, Dialect::Own);
    let after = answer.headers().get(header::RETRY_AFTER).expect("the answer says when to retry");
    let after = after.to_str().expect("it is text");
    assert!(after.parse::<u64>().is_ok(), "{after}");
}
