//! What concerns one connection only goes no further, in either role and in either direction.
//!
//! Two lists of such headers had grown apart: nodes that own upstreams passed on `Expect` and `Proxy-Connection`, gateways
//! `Proxy-Authenticate`. A caller's `Connection: cookie, x-request-id` made the former drop both, and what an upstream's answer
//! names in `Connection` was passed on to callers. Seen by reading `clean` and `clean_answer`; no log shows it.

use http::{HeaderMap, HeaderName, HeaderValue};
use node::common::head as owner;
use node::gateway::dialect::Dialect;
use node::gateway::proxy::head as gateway;

/// Headers of one hop (RFC 9110, section 7.6.1, and those that older software sends).
const OF_ONE_HOP: [&str; 10] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

fn headers(options: &'static str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for name in OF_ONE_HOP {
        headers.insert(HeaderName::from_static(name), HeaderValue::from_static("x"));
    }
    headers.insert("connection", HeaderValue::from_static(options));
    for name in ["cookie", "content-length", "x-named", "x-other", "x-request-id"] {
        headers.insert(HeaderName::from_static(name), HeaderValue::from_static("1"));
    }
    for name in ["yokespoke-request-id", "yokespoke-response-seal"] {
        headers.insert(HeaderName::from_static(name), HeaderValue::from_static("1"));
    }
    headers
}

/// Returns the headers as each role passes on a request, and a gateway an answer.
fn passed_on(options: &'static str) -> [(&'static str, HeaderMap); 4] {
    let cleaned = |clean: &dyn Fn(&mut HeaderMap)| {
        let mut headers = headers(options);
        clean(&mut headers);
        headers
    };
    [
        ("owner", cleaned(&|headers| owner::clean(headers))),
        ("platform", cleaned(&|headers| gateway::clean(headers, Dialect::Platform))),
        ("own", cleaned(&|headers| gateway::clean(headers, Dialect::Own))),
        ("answer", cleaned(&|headers| gateway::clean_answer(headers))),
    ]
}

#[test]
fn what_concerns_one_connection_goes_no_further() {
    for (role, headers) in passed_on("close") {
        let left: Vec<&str> =
            OF_ONE_HOP.into_iter().filter(|name| headers.contains_key(*name)).collect();
        assert!(left.is_empty(), "{role}: {left:?}");
    }
}

#[test]
fn what_a_connection_names_goes_no_further() {
    for (role, headers) in passed_on("close, x-named") {
        assert!(!headers.contains_key("x-named"), "{role}");
        assert!(headers.contains_key("x-other"), "{role}");
    }
}

#[test]
fn a_connection_cannot_name_what_each_hop_needs() {
    for (role, headers) in passed_on("cookie, content-length, x-request-id") {
        for name in ["cookie", "content-length", "x-request-id"] {
            assert!(
                headers.contains_key(name) || role == "platform" && name == "x-request-id",
                "{role}: {name}"
            );
        }
    }
    let (_, answer) = &passed_on("yokespoke-request-id, yokespoke-response-seal")[3];
    assert!(answer.contains_key("yokespoke-request-id"));
    assert!(answer.contains_key("yokespoke-response-seal"));
}
