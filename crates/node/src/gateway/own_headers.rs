//! Yokespoke's own headers: what callers and upstreams say with them, decoded once.
//!
//! Owns the names that only a gateway uses; [`common::head`](crate::common::head) has those that
//! gateways and owners share. The platform's headers have the same form in `platform`.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use model::head;
use model::id;
use model::routing;
use platform::field;

use crate::common::head as names;

/// Proves which organisation sends a request. Upstreams never see it.
const KEY: HeaderName = HeaderName::from_static("x-api-key");

/// The organisation that sends a request, which only a gateway says.
const ORGANISATION: HeaderName = HeaderName::from_static("yokespoke-organisation");

/// Cookie that is the same on requests about one object.
const AFFINITY_COOKIE: &str = "yokespoke-object";

/// Headers by which a caller could pass itself off as a gateway or an upstream, and an upstream as a gateway.
static OURS: [HeaderName; 7] =
    [names::VERDICT, names::REASON, names::LOAD, names::LIMIT, names::LEAVING, KEY, ORGANISATION];

/// Shortest time left that is sent to an upstream, in milliseconds, so that the deadline lies ahead.
const SHORTEST_LEFT_MILLIS: u64 = 1;

/// Reads what a caller says.
///
/// A wait that is no number counts as absent, so that the route's time-out applies alone.
///
/// # Errors
///
/// Fails when the request's id stands more than once or is no text.
pub fn request(headers: &HeaderMap) -> Result<head::Request<'_>, field::Ambiguous> {
    Ok(head::Request {
        id: field::single(headers, &names::REQUEST_ID)?,
        wait: field::millis(headers, &names::TIMEOUT),
        object: field::cookie(headers, AFFINITY_COOKIE),
        key: field::key(headers, &KEY),
    })
}

/// Returns whether `name` is the header of the request's id, which every hop passes on.
#[must_use]
pub fn is_id(name: &HeaderName) -> bool {
    *name == names::REQUEST_ID
}

/// Removes what only a gateway says to callers, and an upstream to a gateway.
pub fn strip(headers: &mut HeaderMap) {
    for name in &OURS {
        headers.remove(name);
    }
}

/// Tells an upstream the deadline of a request that has `left` to go at `now`, and the organisation that sends it.
pub fn address(
    headers: &mut HeaderMap,
    left: Duration,
    organisation: Option<&id::Organisation>,
    now: SystemTime,
) {
    if let Some(organisation) = organisation {
        // Declared names are letters, digits and a few marks, which can stand in a header.
        match HeaderValue::from_str(organisation.as_str()) {
            Ok(name) => {
                headers.insert(ORGANISATION, name);
            }
            Err(error) => {
                let (organisation, error) = (organisation.as_str(), error.to_string());
                log::warn!(organisation, error = error.as_str(); "organisation-not-named");
            }
        }
    }
    // A clock before 1970 is wrong anyway; the deadline is then as wrong as the clock.
    let now = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    let left_millis = field::whole_millis(left).max(SHORTEST_LEFT_MILLIS);
    let deadline = HeaderValue::from(field::whole_millis(now) + left_millis);
    headers.insert(names::DEADLINE, deadline);
    headers.remove(names::TIMEOUT);
}

/// Reads the head of an answer from an upstream of a service with `rules`.
///
/// Upstreams carry no seal here, and state by the service's declared statuses that they did not run a
/// request.
#[must_use]
pub fn answer<'a>(
    headers: &'a HeaderMap,
    status: StatusCode,
    rules: Option<&routing::ServiceRules>,
) -> head::Response<'a> {
    let states_not_run = rules.is_some_and(|rules| rules.shed.contains(&status.as_u16()));
    head::Response {
        status: status.as_u16(),
        request_id: field::text(headers, &names::REQUEST_ID),
        is_sealed: false,
        states_not_run,
        statement: names::statement(headers, status, states_not_run),
    }
}

/// Explains an answer of the gateway's own.
pub fn explain(headers: &mut HeaderMap, is_proved_not_run: bool, reason: &'static str) {
    let verdict = match is_proved_not_run {
        true => "not-run",
        false => "may-have-run",
    };
    headers.insert(names::VERDICT, HeaderValue::from_static(verdict));
    headers.insert(names::REASON, HeaderValue::from_static(reason));
}
