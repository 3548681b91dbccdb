//! What callers of yokespoke's own dialect may rely on.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use model::{rest, routing};
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

/// A 503 that its service does not declare as a refusal is an answer, whose `Retry-After` is for its caller.
#[test]
fn only_a_refusal_by_the_service_s_rules_asks_for_rest() {
    let rules = |shed| routing::ServiceRules {
        health_check_path: None,
        max_connections: None,
        cold_start: Duration::ZERO,
        cold_rate: None,
        shed,
    };
    let mut headers = HeaderMap::new();
    headers.insert(header::RETRY_AFTER, HeaderValue::from_static("3"));
    let asked = |shed| {
        let rules = rules(shed);
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Dialect::Own.answer(&headers, status, Some(&rules)).statement.rest
    };
    assert_eq!(asked(vec![503]), rest::Field::Rest(Duration::from_secs(3)));
    assert_eq!(asked(Vec::new()), rest::Field::Absent);
}
