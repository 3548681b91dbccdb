//! Heads of requests and answers: what is passed on, and what is not.
//!
//! Owns the names of yokespoke's own headers that both roles use, and the rules of hops.

use std::net;
use std::time::Duration;

use http::header;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use model::leaving;
use model::limit;
use model::rest;
use model::statement;
use platform::answer;
use platform::field;

/// Header by which a caller gives the time it will wait, in milliseconds.
pub const TIMEOUT: HeaderName = HeaderName::from_static("yokespoke-timeout-ms");

/// Header by which a caller gives its ticket.
pub const TICKET: HeaderName = HeaderName::from_static("yokespoke-ticket");

/// Header of an answer that says whether the request may have run.
pub const VERDICT: HeaderName = HeaderName::from_static("yokespoke-verdict");

/// Header of an answer that says why the request failed.
pub const REASON: HeaderName = HeaderName::from_static("yokespoke-reason");

/// Header that carries the deadline to an upstream, in milliseconds since 1970 (UTC).
pub const DEADLINE: HeaderName = HeaderName::from_static("yokespoke-deadline");

/// An upstream's load: requests that it runs, requests queued at it, and slots.
pub const LOAD: HeaderName = HeaderName::from_static("yokespoke-load");

/// The requests a second that an upstream takes from all nodes together.
pub const LIMIT: HeaderName = HeaderName::from_static("yokespoke-limit");

/// Says that the upstream leaves.
pub const LEAVING: HeaderName = HeaderName::from_static("yokespoke-leaving");

/// Header that carries the caller's address to an upstream.
const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");

/// Headers that concern one connection only (RFC 9110, section 7.6.1), with an expectation that this hop has met itself.
pub const HOP_BY_HOP: [HeaderName; 10] = [
    header::CONNECTION,
    header::EXPECT,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Identifies a request, where the deployment has no header of its own for that.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Headers that no connection option may remove: without them a request is another one.
const PROTECTED: [HeaderName; 4] =
    [header::CONTENT_LENGTH, header::HOST, header::COOKIE, REQUEST_ID];

/// Headers that only yokespoke itself may set.
const OURS: [HeaderName; 5] = [TIMEOUT, TICKET, VERDICT, REASON, DEADLINE];

/// Reads what an upstream says of itself in an answer; `is_refusal` where it did not run the request by its service's rules.
///
/// Another 503 is the answer of what it serves, whose `Retry-After` is the caller's. A load that cannot be read counts as absent: the sender then goes by the requests that it has in flight itself.
#[must_use]
pub fn statement(
    headers: &HeaderMap,
    status: StatusCode,
    is_refusal: bool,
) -> statement::Statement {
    statement::Statement {
        load: field::text(headers, &LOAD).and_then(|load| load.parse().ok()),
        limit: limit::Field::read(field::all(headers, &LIMIT)),
        leaving: leaving::Field::read(field::all(headers, &LEAVING)),
        rest: match is_refusal {
            true => answer::rest(headers, status),
            false => rest::Field::Absent,
        },
    }
}

/// Returns whether a request gives its length or host more than once, as request smuggling does.
#[must_use]
pub fn is_ambiguous(headers: &HeaderMap) -> bool {
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    let coded = headers.contains_key(header::TRANSFER_ENCODING);
    lengths > 1 || (lengths == 1 && coded) || headers.get_all(header::HOST).iter().count() > 1
}

/// Returns the headers that `Connection` lists as meant for this hop only.
///
/// Words that cannot be a header's name are skipped: there is no such header to remove.
#[must_use]
pub fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    let words = values.filter_map(|value| value.to_str().ok()).flat_map(|value| value.split(','));
    words.filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok()).collect()
}

/// Removes what concerns the caller's connection only and what only yokespoke may say.
pub fn clean(headers: &mut HeaderMap) {
    remove_hop(headers, |name| PROTECTED.contains(name));
    for name in &OURS {
        headers.remove(name);
    }
}

/// Removes the headers of one hop and those that its connection names, but for the ones that `is_protected` says to keep.
pub fn remove_hop(headers: &mut HeaderMap, is_protected: impl Fn(&HeaderName) -> bool) {
    let mut options = connection_options(headers);
    options.retain(|name| !is_protected(name));
    for name in options.iter().chain(&HOP_BY_HOP) {
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
    // An address can always stand in a header, and so can what stood there before.
    if let Ok(value) = HeaderValue::from_str(&value) {
        headers.insert(FORWARDED_FOR, value);
    }
}

/// Writes the time after which a refused caller may retry, for `Retry-After`.
///
/// The header counts whole seconds (RFC 9110, section 10.2.3); rounding down would bring the caller back
/// too early.
#[must_use]
pub fn retry_after(wait: Duration) -> HeaderValue {
    let seconds = wait.as_millis().div_ceil(1_000).max(1);
    HeaderValue::from(u64::try_from(seconds).unwrap_or(u64::MAX))
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
