//! Dialects: the headers that callers and upstreams of a deployment use.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use model::id;
use model::load;
use model::routing;
use platform::headers;

use crate::common::head;
use crate::gateway::proxy::answer;

/// Statuses that promise callers that the request has not run; an upstream's are passed on as such
/// only with its word for it.
const PROMISES: [StatusCode; 3] =
    [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];

/// Header that names a request in yokespoke's own dialect.
const OWN_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Header by which an upstream tells its load in yokespoke's own dialect.
const OWN_LOAD: HeaderName = HeaderName::from_static("yokespoke-load");

/// Cookie that is the same on requests about one object, in yokespoke's own dialect.
const OWN_AFFINITY_COOKIE: &str = "yokespoke-object";

/// The headers that callers and upstreams of a deployment use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dialect {
    /// Those of the users' platform.
    Platform,
    /// Those of yokespoke's own interface.
    Own,
}

/// What an upstream execution of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// It ran it, or may have.
    Ran,
    /// It did not run it.
    NotRun,
    /// It did not run it, since it is not the upstream that was meant.
    Replaced,
    /// It refuses it, and does not prove that it did not run it.
    Unproved,
}

impl Dialect {
    /// Returns the header that names a request.
    #[must_use]
    pub fn request_id(self) -> HeaderName {
        match self {
            Self::Platform => headers::REQUEST_ID,
            Self::Own => OWN_REQUEST_ID,
        }
    }

    /// Returns the cookie that is the same on requests about one object.
    #[must_use]
    pub fn affinity_cookie(self) -> &'static str {
        match self {
            Self::Platform => headers::AFFINITY_COOKIE,
            Self::Own => OWN_AFFINITY_COOKIE,
        }
    }

    /// Returns the headers by which a caller could pass itself off as this system or an upstream.
    #[must_use]
    pub fn reserved(self) -> &'static [HeaderName] {
        static OWN: [HeaderName; 3] = [head::VERDICT, head::REASON, OWN_LOAD];
        match self {
            Self::Platform => &headers::OURS,
            Self::Own => &OWN,
        }
    }

    /// Reads the time that a caller will wait.
    #[must_use]
    pub fn deadline(self, headers: &HeaderMap) -> Option<Duration> {
        let name = match self {
            Self::Platform => headers::DEADLINE,
            Self::Own => head::TIMEOUT,
        };
        let millis = headers.get(name)?.to_str().ok()?.trim().parse().ok()?;
        Some(Duration::from_millis(millis))
    }

    /// Tells an upstream which one is meant, and how much time is left.
    pub fn address(self, headers: &mut HeaderMap, upstream: &id::Upstream, left: Duration) {
        let left_millis = millis(left).max(1);
        match self {
            Self::Platform => {
                if let Ok(target) = HeaderValue::from_str(upstream.as_str()) {
                    headers.insert(headers::TARGET, target);
                }
                headers.insert(headers::DEADLINE, HeaderValue::from(left_millis));
            }
            Self::Own => {
                let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                headers.insert(head::DEADLINE, HeaderValue::from(millis(now) + left_millis));
                headers.remove(head::TIMEOUT);
            }
        }
    }

    /// Returns what is wrong with an answer that should be the one to `request_id`.
    #[must_use]
    pub fn fault(
        self,
        headers: &HeaderMap,
        status: StatusCode,
        request_id: &str,
    ) -> Option<&'static str> {
        let named = text(headers, &self.request_id());
        let is_own = match self {
            Self::Platform => named.unwrap_or_default() == request_id,
            // Upstreams need not give the name back here.
            Self::Own => named.is_none_or(|named| named == request_id),
        };
        let is_sealed = match self {
            Self::Platform => headers.contains_key(headers::SEAL),
            Self::Own => true,
        };
        match () {
            () if !is_own => Some("answer to another request"),
            () if status.is_success() && !is_sealed => Some("success without a seal"),
            () => None,
        }
    }

    /// Returns what an upstream execution of a request, by its answer.
    #[must_use]
    pub fn execution(
        self,
        headers: &HeaderMap,
        status: StatusCode,
        rules: Option<&routing::ServiceRules>,
    ) -> Execution {
        let is_not_run = match self {
            Self::Platform => headers.contains_key(headers::NOT_EXECUTED),
            Self::Own => rules.is_some_and(|rules| rules.shed.contains(&status.as_u16())),
        };
        match status {
            StatusCode::MISDIRECTED_REQUEST => Execution::Replaced,
            status if status.is_success() => Execution::Ran,
            _ if is_not_run => Execution::NotRun,
            status if PROMISES.contains(&status) => Execution::Unproved,
            _ => Execution::Ran,
        }
    }

    /// Returns the load that an answer tells.
    #[must_use]
    pub fn load(self, headers: &HeaderMap) -> Option<load::Report> {
        let name = match self {
            Self::Platform => headers::LOAD,
            Self::Own => OWN_LOAD,
        };
        text(headers, &name)?.parse().ok()
    }

    /// Adds to an answer of the gateway's own what its callers expect there.
    pub fn explain(self, headers: &mut HeaderMap, reason: answer::Reason) {
        if self == Self::Own {
            let verdict = match reason.is_proved_not_run() {
                true => "not-run",
                false => "may-have-run",
            };
            headers.insert(head::VERDICT, HeaderValue::from_static(verdict));
            headers.insert(head::REASON, HeaderValue::from_static(reason.as_str()));
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns a header's value as text.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
