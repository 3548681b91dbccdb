//! Answers that the gateway gives itself.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};

use crate::common::body;
use crate::gateway::dialect;

/// Why the gateway answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route matches.
    NoRoute,
    /// The head does not say clearly what it asks.
    BadHead(&'static str),
    /// The body is larger than callers may send.
    TooLarge,
    /// The body did not arrive whole.
    BodyCut,
    /// The body did not arrive in time.
    BodyLate,
    /// No upstream could take it, which proves that it has not run.
    NotRun(&'static str, Duration),
    /// An upstream turned it away without running it.
    TurnedAway(Duration),
    /// It was sent, and what became of it is not known.
    Unknown(&'static str),
    /// It was sent, and its time was up.
    TimedOut,
    /// Its time was up before it was sent.
    NotSent,
}

impl Reason {
    /// Returns the status of the answer.
    ///
    /// Statuses 408, 421, 429 and 503 promise that the request has not run and never will.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConfiguration | Self::NotRun(..) | Self::TurnedAway(_) | Self::NotSent => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadHead(_) | Self::BodyCut => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyLate => StatusCode::REQUEST_TIMEOUT,
            Self::Unknown(_) => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the reason as a word.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::NoRoute => "no-route",
            Self::BadHead(fault) => fault,
            Self::TooLarge => "body-too-large",
            Self::BodyCut => "body-cut",
            Self::BodyLate => "body-late",
            Self::NotRun(cause, _) | Self::Unknown(cause) => cause,
            Self::TurnedAway(_) => "turned-away",
            Self::TimedOut => "timed-out",
            Self::NotSent => "not-sent-in-time",
        }
    }

    /// Returns whether it is proved that the request has not run.
    #[must_use]
    pub fn is_proved_not_run(self) -> bool {
        !matches!(self, Self::Unknown(_) | Self::TimedOut)
    }

    /// Returns when the caller should come back, if it may.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NotRun(_, after) | Self::TurnedAway(after) => Some(after),
            Self::NoConfiguration | Self::NotSent => Some(COME_BACK),
            _ => None,
        }
    }
}

/// Time after which a caller should come back when nothing better is known.
const COME_BACK: Duration = Duration::from_millis(200);

/// Makes the answer.
#[must_use]
pub fn make(reason: Reason, dialect: dialect::Dialect) -> Response<body::Body> {
    let text = format!("{}\n", reason.as_str());
    let mut response = Response::new(body::full(Bytes::from(text)));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    dialect.explain(headers, reason.is_proved_not_run(), reason.as_str());
    if let Some(after) = reason.retry_after() {
        let seconds = format!("{:.2}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}
