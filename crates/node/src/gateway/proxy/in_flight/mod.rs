//! Requests in flight: what each of them waits for, and how those after a stop's signal ended.
//!
//! The [`Registry`] owns the [`Entry`] of each request, which has a [`Phase`], and the counts of a stop ([`Tally`]). The
//! handler and its tries record the progress of a request by its handle, [`Request`]; [`stop_report`] writes what the
//! registry holds when the process exits.
//!
//! [`stop_report`]: crate::gateway::stop_report

mod entry;
mod phase;
mod registry;
mod request;
mod tally;

pub use self::entry::{Entry, Response};
pub use self::phase::{Phase, Phases};
pub use self::registry::Registry;
pub use self::request::Request;
pub use self::tally::Tally;
