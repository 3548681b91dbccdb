//! The parts of request and response heads that a gateway uses for its decisions.
//!
//! Both sets of header names, the platform's and yokespoke's own, are decoded into these types, so
//! no header name appears here.

use std::time::Duration;

use crate::key;
use crate::statement;

/// The decoded head of a caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// Id of this attempt, which a response must repeat to be matched with it; empty when absent.
    pub id: &'a str,
    /// Time for which the caller waits, counted from the arrival of the request.
    pub wait: Option<Duration>,
    /// Name of the object that the request concerns; requests for the same object share it.
    pub object: Option<&'a str>,
    /// Key of an organisation, if the request carries one.
    pub key: key::Credential,
}

/// The decoded head of an upstream's response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Response<'a> {
    /// HTTP status code.
    pub status: u16,
    /// Id of the request that the upstream says it responds to.
    pub request_id: Option<&'a str>,
    /// Whether the response carries the seal that the upstream adds to genuine responses.
    pub is_sealed: bool,
    /// Whether the upstream states that it did not execute the request.
    pub states_not_run: bool,
    /// State that the upstream reports: load, limit, leaving and rest.
    pub statement: statement::Statement,
}

/// The decoded head of an upstream's response to a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health<'a> {
    /// HTTP status code.
    pub status: u16,
    /// Name of the upstream that responds, if the response contains it.
    pub upstream: Option<&'a str>,
    /// What the upstream says of its cold start.
    pub cold: Cold,
}

/// What an upstream says of its cold start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cold {
    /// The upstream is warm.
    No,
    /// The upstream is cold for so much longer.
    For(Duration),
    /// The response does not tell, or the time is malformed.
    Unknown,
}
