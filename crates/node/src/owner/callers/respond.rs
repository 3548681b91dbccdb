//! Answers that yokespoke itself gives to callers.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use model::verdict;

use crate::common::body;
use crate::common::head;

/// Returns the answer to a request that failed.
#[must_use]
pub fn failure(failure: verdict::Failure) -> Response<body::Body> {
    let status = status(failure);
    let text = format!("{}: {}\n", failure.verdict, explain(failure.reason));
    let mut response = Response::new(body::full(Bytes::from(text)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(head::VERDICT, HeaderValue::from_static(failure.verdict.as_str()));
    headers.insert(head::REASON, HeaderValue::from_static(failure.reason.as_str()));
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    if let Some(wait) = failure.retry_after {
        headers.insert(header::RETRY_AFTER, head::retry_after(wait));
    }
    response
}

/// Returns a JSON answer.
#[must_use]
pub fn json(status: StatusCode, value: &serde_json::Value) -> Response<body::Body> {
    let mut response = Response::new(body::full(Bytes::from(value.to_string())));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn status(failure: verdict::Failure) -> StatusCode {
    use verdict::{Reason, Verdict};
    match (failure.reason, failure.verdict) {
        (Reason::UnknownHost | Reason::KeysNotChecked, _) => StatusCode::MISDIRECTED_REQUEST,
        (Reason::BadRequest, _) => StatusCode::BAD_REQUEST,
        (Reason::Running | Reason::Ticket, _) => StatusCode::CONFLICT,
        (Reason::Deadline, _) => StatusCode::GATEWAY_TIMEOUT,
        (_, Verdict::NotRun) => StatusCode::SERVICE_UNAVAILABLE,
        (_, Verdict::MayHaveRun) => StatusCode::BAD_GATEWAY,
    }
}

fn explain(reason: verdict::Reason) -> &'static str {
    use verdict::Reason;
    match reason {
        Reason::UnknownHost => "no service has this host",
        Reason::KeysNotChecked => "organisations are declared, whose keys only gateways check",
        Reason::BadRequest => "the request is malformed or too large",
        Reason::NotReady => "the node is not ready",
        Reason::NoRegion => "no region can take the request now",
        Reason::NotHome => "the node is home of no usable upstream of the service",
        Reason::Busy => "no slot is free at once",
        Reason::Full => "every slot is taken and the wait would be too long",
        Reason::Deadline => "the deadline has passed",
        Reason::Cancelled => "the caller gave up",
        Reason::Unreachable => "the upstream cannot be reached",
        Reason::Shed => "the upstream refused the request before running it",
        Reason::Broken => "the connection broke after the request was sent",
        Reason::Ticket => "the ticket is unknown, ended, or its answer was too large to keep",
        Reason::Running => "the request of this ticket is running",
    }
}
