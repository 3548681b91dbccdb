//! Responses that the gateway creates itself.
//!
//! Defines the status of each [`Reason`]. [`steer::dispatch::give_up`] defines the reasons of
//! requests that no upstream responded to, and [`dialect`] writes the headers that describe the
//! reason.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use steer::dispatch::give_up;

use crate::common::body;
use crate::gateway::dialect;
use crate::gateway::proxy::head;

/// Authentication scheme, which a 401 response must contain (RFC 9110, section 11.6.1).
const CHALLENGE: &str = "ApiKey";

/// Why the gateway responds to a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No configuration is known yet.
    NoConfiguration,
    /// The request came on a connection beyond those that are served.
    TooManyConnections,
    /// No route matches.
    NoRoute,
    /// The route requires the key of an organisation, and the request has none.
    NoKey,
    /// No organisation has the request's key.
    UnknownKey,
    /// The head is ambiguous or incomplete.
    BadHead(head::Fault),
    /// The body is larger than callers may send.
    TooLarge,
    /// The body did not arrive whole.
    BodyCut,
    /// The body did not arrive in time.
    BodyLate,
    /// No upstream responded to the request.
    GivenUp(give_up::Reason),
}

impl Reason {
    /// Returns the status of the response.
    ///
    /// Statuses 408, 421, 429 and 503 promise that the request was not executed and never will be.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration | Self::TooManyConnections => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey | Self::UnknownKey | Self::GivenUp(give_up::Reason::Revoked) => {
                StatusCode::UNAUTHORIZED
            }
            Self::GivenUp(give_up::Reason::OverQuota { .. }) => StatusCode::TOO_MANY_REQUESTS,
            Self::BadHead(_) | Self::BodyCut => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyLate => StatusCode::REQUEST_TIMEOUT,
            Self::GivenUp(give_up::Reason::MayHaveRun) => StatusCode::BAD_GATEWAY,
            Self::GivenUp(give_up::Reason::TimedOut | give_up::Reason::Curtailed) => {
                StatusCode::GATEWAY_TIMEOUT
            }
            Self::GivenUp(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the value of the log key `reason`.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::TooManyConnections => "too-many-connections",
            Self::NoRoute => "no-route",
            Self::NoKey => "no-key",
            Self::UnknownKey => "unknown-key",
            Self::BadHead(fault) => fault.as_str(),
            Self::TooLarge => "body-too-large",
            Self::BodyCut => "body-cut",
            Self::BodyLate => "body-late",
            Self::GivenUp(reason) => reason.as_str(),
        }
    }

    /// Returns whether the request was certainly not executed.
    #[must_use]
    pub fn is_proved_not_run(self) -> bool {
        match self {
            Self::GivenUp(reason) => reason.is_proved_not_run(),
            _ => true,
        }
    }

    /// Returns the time after which the caller may retry; `None` if a retry would fail too.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::GivenUp(reason) => reason.retry_after(),
            Self::NoConfiguration | Self::TooManyConnections => Some(give_up::RETRY_AFTER_DEFAULT),
            _ => None,
        }
    }
}

/// Creates the response.
#[must_use]
pub fn make(reason: Reason, dialect: dialect::Dialect) -> Response<body::Body> {
    let text = format!("{}\n", reason.as_str());
    let mut response = Response::new(body::full(Bytes::from(text)));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    dialect.explain(headers, reason.is_proved_not_run(), reason.as_str());
    if reason.status() == StatusCode::UNAUTHORIZED {
        headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static(CHALLENGE));
    }
    if let Some(after) = reason.retry_after() {
        headers.insert(header::RETRY_AFTER, dialect.retry_after(after));
    }
    response
}
