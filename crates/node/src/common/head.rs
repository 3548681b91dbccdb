//! Heads of requests and answers: what is passed on, and what is not.

use http::header;
use http::{HeaderMap, HeaderName, HeaderValue};
use std::net;

/// Header by which a caller gives the time it will wait, in milliseconds.
pub const TIMEOUT: HeaderName = HeaderName::from_static("yokespoke-timeout-ms");

/// Header by which a caller gives its ticket.
pub const TICKET: HeaderName = HeaderName::from_static("yokespoke-ticket");

/// Header of an answer that says whether the request may have run.
pub const VERDICT: HeaderName = HeaderName::from_static("yokespoke-verdict");

/// Header of an answer that says why the request failed.
pub const REASON: HeaderName = HeaderName::from_static("yokespoke-reason");

/// Header by which an upstream learns the deadline, in milliseconds since 1970 (UTC).
pub const DEADLINE: HeaderName = HeaderName::from_static("yokespoke-deadline");

/// Header by which an upstream learns the caller's address.
const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Headers that only yokespoke itself may set.
const OURS: [HeaderName; 5] = [TIMEOUT, TICKET, VERDICT, REASON, DEADLINE];

/// Returns whether a request says in two ways how long its body is, as smugglers do.
#[must_use]
pub fn is_ambiguous(headers: &HeaderMap) -> bool {
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    let coded = headers.contains_key(header::TRANSFER_ENCODING);
    lengths > 1 || (lengths == 1 && coded) || headers.get_all(header::HOST).iter().count() > 1
}

/// Removes what concerns the caller's connection only and what only yokespoke may say.
pub fn clean(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .filter(|name| *name != header::CONTENT_LENGTH && *name != header::HOST)
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP).chain(&OURS) {
        headers.remove(name);
    }
}

/// Adds the caller's address to those that the request passed through.
pub fn add_caller(headers: &mut HeaderMap, caller: net::IpAddr) {
    let before = headers.get(FORWARDED_FOR).and_then(|v| v.to_str().ok());
    let value = match before {
        Some(before) => format!("{before}, {caller}"),
        None => caller.to_string(),
    };
    if let Ok(value) = HeaderValue::from_str(&value) {
        headers.insert(FORWARDED_FOR, value);
    }
}

/// A header that should hold a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Number {
    /// It is not there.
    Absent,
    /// It holds this.
    Given(u64),
    /// It holds something else.
    Malformed,
}

/// Reads a header that should hold a number.
#[must_use]
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Number {
    let Some(value) = headers.get(name) else { return Number::Absent };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    number.map_or(Number::Malformed, Number::Given)
}
