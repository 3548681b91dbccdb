//! Determines from a response head whether an upstream executed the request.
//!
//! Retries and the statements made to callers depend on this. The gateway's proxy calls it for
//! every response before it forwards any part of it. [`head::Response`] is the decoded form of each
//! supported set of header names.

use model::head;

/// Success statuses.
const SUCCESS: std::ops::Range<u16> = 200..300;

/// 421 Misdirected Request (RFC 9110, section 15.5.20): the request was meant for another upstream.
const MISDIRECTED: u16 = 421;

/// Statuses that usually mean that the request was not executed.
///
/// Upstreams also send them without knowing, so the status alone is no proof.
const USUALLY_NOT_RUN: [u16; 3] = [408, 429, 503];

/// Whether an upstream executed a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// Executed, or possibly executed; the response is forwarded to the caller.
    Ran,
    /// Not executed.
    NotRun,
    /// Not executed, because the request was meant for another upstream.
    Replaced,
    /// Refused, without proof that it was not executed.
    Unproved,
}

/// What a valid response must contain; depends on the protocol that the upstreams implement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requirements {
    /// Whether the response must repeat the request ID.
    pub request_id: bool,
    /// Whether a success must carry the upstream's response seal.
    pub seal: bool,
}

/// Why a response is invalid for the request that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It carries the ID of another request, or no ID although one is required.
    OtherRequest,
    /// It is a success without the required seal.
    NoSeal,
}

impl Fault {
    /// Returns the text for log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OtherRequest => "answer to another request",
            Self::NoSeal => "success without a seal",
        }
    }
}

/// Returns whether the upstream executed the request, given a response without a [`Fault`].
///
/// A success counts as executed even if the response states the contrary.
#[must_use]
pub fn execution(answer: &head::Response<'_>) -> Execution {
    match answer.status {
        MISDIRECTED => Execution::Replaced,
        status if SUCCESS.contains(&status) => Execution::Ran,
        _ if answer.states_not_run => Execution::NotRun,
        status if USUALLY_NOT_RUN.contains(&status) => Execution::Unproved,
        _ => Execution::Ran,
    }
}

/// Returns why `answer` is invalid for request `request_id`, or `None` if it is valid.
///
/// An invalid response does not show whether the request was executed.
#[must_use]
pub fn fault(
    answer: &head::Response<'_>,
    requirements: Requirements,
    request_id: &str,
) -> Option<Fault> {
    let matches_request = match answer.request_id {
        Some(returned_id) => returned_id == request_id,
        None => !requirements.request_id || request_id.is_empty(),
    };
    let has_seal = answer.is_sealed || !requirements.seal;
    match SUCCESS.contains(&answer.status) {
        _ if !matches_request => Some(Fault::OtherRequest),
        true if !has_seal => Some(Fault::NoSeal),
        _ => None,
    }
}
