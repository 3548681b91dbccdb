//! Execution: whether an upstream ran a request, by the head of its answer.
//!
//! Owns what proves that a request has not run, on which every retry and every promise to a caller
//! rests. Relies on [`head::Response`], which each set of header names is decoded into. Called by the
//! gateway's proxy for each answer, before anything of it is passed on.

use model::head;

/// Statuses of a success.
const SUCCESS: std::ops::Range<u16> = 200..300;

/// Status by which an upstream says that another one was meant (RFC 9110, section 15.5.20).
const MISDIRECTED: u16 = 421;

/// Statuses that promise a caller that its request has not run: 408, 429 and 503.
///
/// Upstreams also send them without knowing, so one proves nothing without a statement beside it.
const PROMISES: [u16; 3] = [408, 429, 503];

/// Whether an upstream ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// It ran it, or may have: the answer is the caller's.
    Ran,
    /// It did not run it.
    NotRun,
    /// It did not run it, because another upstream was meant.
    Replaced,
    /// It refuses it without proof that it did not run it.
    Unproved,
}

/// What a genuine answer has to show; it depends on who wrote the upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requirements {
    /// Whether it must name the request that it answers.
    pub request_id: bool,
    /// Whether a success must carry the upstream's seal.
    pub seal: bool,
}

/// Why an answer is not one to the request that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It names another request, or none where it must.
    OtherRequest,
    /// It is a success without the seal that it must carry.
    NoSeal,
}

impl Fault {
    /// Returns the fault as a phrase for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OtherRequest => "answer to another request",
            Self::NoSeal => "success without a seal",
        }
    }
}

/// Returns whether the upstream ran the request, given an answer without a [`Fault`].
///
/// A success has run whatever else the answer states.
#[must_use]
pub fn execution(answer: &head::Response<'_>) -> Execution {
    match answer.status {
        MISDIRECTED => Execution::Replaced,
        status if SUCCESS.contains(&status) => Execution::Ran,
        _ if answer.states_not_run => Execution::NotRun,
        status if PROMISES.contains(&status) => Execution::Unproved,
        _ => Execution::Ran,
    }
}

/// Returns why `answer` is not one to request `request_id`; none when it is.
///
/// Such an answer says nothing about the request, which may have run.
#[must_use]
pub fn fault(
    answer: &head::Response<'_>,
    requirements: Requirements,
    request_id: &str,
) -> Option<Fault> {
    let names_request = match answer.request_id {
        Some(named) => named == request_id,
        None => !requirements.request_id || request_id.is_empty(),
    };
    let has_seal = answer.is_sealed || !requirements.seal;
    match SUCCESS.contains(&answer.status) {
        _ if !names_request => Some(Fault::OtherRequest),
        true if !has_seal => Some(Fault::NoSeal),
        _ => None,
    }
}
