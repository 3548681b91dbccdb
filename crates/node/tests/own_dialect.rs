//! What callers of yokespoke's own dialect may rely on.

use http::{HeaderValue, Response};
use node::common::body;
use node::common::head as names;
use node::gateway::proxy::relay;

/// In yokespoke's own dialect only yokespoke may say whether a request has run.
#[test]
fn a_verdict_that_an_upstream_forges_is_removed() {
    let mut upstream = Response::new(());
    upstream.headers_mut().insert(names::VERDICT, HeaderValue::from_static("not-run"));
    let answer = relay::answer(upstream, body::empty());
    assert!(!answer.headers().contains_key(names::VERDICT));
}
