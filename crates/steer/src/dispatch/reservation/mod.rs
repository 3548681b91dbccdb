//! Reservations: when refused callers may come back, and the room that is kept for them.
//!
//! A caller that is refused for load or for a limit is either promised room at the time that it is
//! told, or told when the surge is expected to be over. [`schedule`] makes the promises, at the rate
//! at which room becomes free at this node, and [`book`] holds those of one organisation or service.
//! What is promised is subtracted from what newcomers get, so promises add nothing to a limit.
//!
//! Callers return mostly at another node. Nodes promise and receive equal shares, so each node
//! redeems as many returns as it has promised itself, whichever node they were promised by. Nodes
//! exchange nothing for this: every wait is the same fraction of the time that the caller has left,
//! so a return that comes as told is recognised by its time left ([`caller`]), compared with the one
//! that first requests on its route usually have ([`times_left`]).
//!
//! All state is bounded and in memory; a node that restarts forgets its promises.

pub mod book;
pub mod caller;
pub mod schedule;
pub mod times_left;

use std::time::Duration;

pub use caller::{Caller, Return};
pub use schedule::{Counts, Promise, Schedule};
pub use times_left::TimesLeft;

/// Whether callers that are refused are promised room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// For organisations with limits.
    Auto,
    /// For all organisations with limits and all services.
    On,
    /// Never.
    #[default]
    Off,
}

/// Refusal of a request for a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Time after which the caller may retry.
    pub retry_after: Duration,
    /// Whether the request is a return, as far as this node can tell.
    pub returned: Return,
}
