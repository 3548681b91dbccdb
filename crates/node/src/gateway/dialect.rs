//! Dialects: whose headers the callers and upstreams of a deployment use.
//!
//! Owns nothing but the choice: the platform's headers are read and written in `platform`, yokespoke's
//! in [`own_headers`]. What an answer proves is decided in [`steer::dispatch::execution`].

use std::time::{Duration, SystemTime};

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use model::head;
use model::id;
use model::routing;
use platform::field;
use steer::dispatch::execution;

use crate::common::head as names;
use crate::gateway::own_headers;

/// Upstreams of the platform name the request and seal a success.
const PLATFORM_REQUIREMENTS: execution::Requirements =
    execution::Requirements { request_id: true, seal: true };

/// Upstreams in general need not know of either.
const OWN_REQUIREMENTS: execution::Requirements =
    execution::Requirements { request_id: false, seal: false };

/// Whose headers the callers and upstreams of a deployment use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dialect {
    /// Those of the users' platform.
    Platform,
    /// Those of yokespoke's own interface.
    Own,
}

impl Dialect {
    /// Both of them.
    pub const ALL: [Self; 2] = [Self::Platform, Self::Own];

    /// Returns whether a header of an answer proves which request it answers, or that an upstream made it.
    #[must_use]
    pub fn is_proof(self, name: &HeaderName) -> bool {
        match self {
            Self::Platform => platform::answer::is_proof(name),
            Self::Own => own_headers::is_id(name),
        }
    }

    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails when the request's id stands more than once or is no text.
    pub fn request(self, headers: &HeaderMap) -> Result<head::Request<'_>, field::Ambiguous> {
        match self {
            Self::Platform => platform::request::read(headers),
            Self::Own => own_headers::request(headers),
        }
    }

    /// Returns whether `name` is the header of the request's id, which every hop passes on.
    #[must_use]
    pub fn is_request_id(self, name: &HeaderName) -> bool {
        match self {
            Self::Platform => platform::request::is_id(name),
            Self::Own => own_headers::is_id(name),
        }
    }

    /// Removes what a caller could pass itself off with as this system or as an upstream.
    pub fn strip(self, headers: &mut HeaderMap) {
        match self {
            Self::Platform => platform::request::strip(headers),
            Self::Own => own_headers::strip(headers),
        }
    }

    /// Tells an upstream which one is meant, if the headers can, how much time is left, and whose request it is.
    pub fn address(
        self,
        headers: &mut HeaderMap,
        upstream: &id::Upstream,
        left: Duration,
        organisation: Option<&id::Organisation>,
    ) {
        match self {
            Self::Platform => {
                if let Err(error) =
                    platform::request::address(headers, upstream, left, organisation)
                {
                    // The request goes without its target: another upstream at that address would run it.
                    let (upstream, error) = (upstream.as_str(), error.to_string());
                    log::warn!(upstream, error = error.as_str(); "upstream-not-named");
                }
            }
            Self::Own => own_headers::address(headers, left, organisation, SystemTime::now()),
        }
    }

    /// Reads the head of an answer from an upstream of a service with `rules`.
    #[must_use]
    pub fn answer<'a>(
        self,
        headers: &'a HeaderMap,
        status: StatusCode,
        rules: Option<&routing::ServiceRules>,
    ) -> head::Response<'a> {
        match self {
            Self::Platform => platform::answer::read(headers, status),
            Self::Own => own_headers::answer(headers, status, rules),
        }
    }

    /// Reads the head of an answer to a health check.
    #[must_use]
    pub fn health(self, headers: &HeaderMap, status: StatusCode) -> head::Health<'_> {
        match self {
            Self::Platform => platform::answer::read_health(headers, status),
            // Yokespoke's own declarations name no cold rate.
            Self::Own => {
                head::Health { status: status.as_u16(), upstream: None, cold: head::Cold::Unknown }
            }
        }
    }

    /// Returns the headers of an answer that bear the mark of these headers, and that are not read.
    pub fn unknown(self, headers: &HeaderMap) -> Vec<&str> {
        match self {
            Self::Platform => platform::answer::unknown(headers).collect(),
            Self::Own => Vec::new(),
        }
    }

    /// Writes the time after which a refused caller may retry, for `Retry-After`.
    #[must_use]
    pub fn retry_after(self, after: Duration) -> HeaderValue {
        match self {
            Self::Platform => platform::answer::retry_after(after),
            Self::Own => names::retry_after(after),
        }
    }

    /// Returns the resolution of `Retry-After`.
    #[must_use]
    pub fn retry_after_resolution(self) -> Duration {
        match self {
            Self::Platform => Duration::from_millis(10),
            Self::Own => Duration::from_secs(1),
        }
    }

    /// Returns what a genuine answer of an upstream has to show.
    #[must_use]
    pub fn requirements(self) -> execution::Requirements {
        match self {
            Self::Platform => PLATFORM_REQUIREMENTS,
            Self::Own => OWN_REQUIREMENTS,
        }
    }

    /// Explains an answer of the gateway's own, if the headers can.
    pub fn explain(self, headers: &mut HeaderMap, is_proved_not_run: bool, reason: &'static str) {
        match self {
            Self::Platform => {}
            Self::Own => own_headers::explain(headers, is_proved_not_run, reason),
        }
    }
}
