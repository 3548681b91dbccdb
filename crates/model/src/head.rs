//! Heads of requests and answers, as far as the gateway decides by them.
//!
//! Owns the types that every set of header names is decoded into: the platform's and yokespoke's own.
//! Nothing here names a header.

use std::time::Duration;

use crate::key;
use crate::statement;

/// What the head of a caller's request says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// Identifies the caller's try, so that its answer is not taken for another's; empty when absent.
    pub id: &'a str,
    /// Time that the caller waits, counted from the request's arrival.
    pub wait: Option<Duration>,
    /// Names the object that the request is about; the same on all requests about it.
    pub object: Option<&'a str>,
    /// The key of an organisation, as far as one is given.
    pub key: key::Given,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer<'a> {
    /// The HTTP status.
    pub status: u16,
    /// The request that it answers, as the upstream names it.
    pub request_id: Option<&'a str>,
    /// Whether it carries the upstream's mark of a genuine answer.
    pub is_sealed: bool,
    /// Whether the upstream states that it did not run the request.
    pub states_not_run: bool,
    /// What the upstream says of itself: load, limit, leaving, rest.
    pub statement: statement::Statement,
}
