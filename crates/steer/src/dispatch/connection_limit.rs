//! Limit on callers' connections: which are served, refused with a response, or left waiting in the backlog.
//!
//! A connection that is closed without a response looks to its caller like a lost request. Beyond the limit a node
//! therefore reads the request and refuses it, on a few connections at a time; others wait until these have ended.

use std::time::Duration;

/// Maximum number of callers' connections that do not linger, so that descriptors are left for upstreams.
const MAX_CONNECTIONS: usize = 2_000;

/// Maximum number of connections that are being refused; they need a descriptor each.
const MAX_REFUSED: usize = 100;

/// Time in which a connection that is refused must have ended: one second for the head of its request, and two in
/// which its caller reads the response and closes.
pub const REFUSAL_TIME: Duration = Duration::from_secs(3);

/// Interval at which it is checked whether connections are left waiting.
pub const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// What becomes of the next connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Accept it, and serve its requests.
    Serve,
    /// Accept it, and refuse its request.
    Refuse,
    /// Leave it in the backlog.
    Wait,
}

/// Decides on the next connection where `open` connections do not linger and `refused` of all are being refused.
#[must_use]
pub fn step(open: usize, refused: usize) -> Step {
    match (open < MAX_CONNECTIONS, refused < MAX_REFUSED) {
        (true, _) => Step::Serve,
        (false, true) => Step::Refuse,
        (false, false) => Step::Wait,
    }
}
