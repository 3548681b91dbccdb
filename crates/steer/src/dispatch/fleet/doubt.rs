//! Doubt: what holds after the store was restored from a copy, until it is written again.
//!
//! Revisions say nothing across a restore, so what is known and what the copy says are compared by what they say themselves. What was
//! acknowledged holds: a copy is older by its nature, and operators and upstreams write again what it lacks. Owns nothing.

use std::time::{Duration, Instant};

/// Time after which what the store lost has been written again: its upstreams take some two seconds. What the copy lacks is kept as
/// long, and what it brings back is kept out as long, unless its own content shows which is newer.
pub const WRITTEN_AGAIN: Duration = Duration::from_secs(3);

/// How far an upstream had come when it wrote its entry: its start, and the calls to discovery since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Written {
    /// When the upstream started, in milliseconds since 1970; 0 where it does not say.
    pub born: u64,
    /// Calls that it had made since.
    pub calls: u64,
}

/// What a value of the store says of its own age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// A configuration of this version.
    Configuration(u64),
    /// An upstream's entry.
    Upstream {
        /// When it was written.
        written: Written,
        /// Whether the upstream leaves by it.
        leaves: bool,
    },
    /// Something that does not say how old it is.
    Undated,
}

/// Returns whether what the store says after its return takes the place of what was `known` before.
#[must_use]
pub fn replaces(known: Content, copy: Content) -> bool {
    match (known, copy) {
        (Content::Configuration(known), Content::Configuration(copy)) => copy >= known,
        (
            Content::Upstream { written: known, leaves },
            Content::Upstream { written: copy, leaves: still_leaves },
        ) => copy > known || copy == known && (still_leaves || !leaves),
        (Content::Upstream { .. } | Content::Configuration(_), Content::Undated) => false,
        _ => true,
    }
}

/// Returns whether what the store holds after its return stands, though its key had been `removed` before.
///
/// An upstream that ended is listed again by a later entry of its own only; for what does not say how old it is, the doubt has to be over. An
/// evacuation that was taken back is of that kind: its hall serves on, and is emptied if the store still says so then.
#[must_use]
pub fn comes_back(removed: Content, copy: Content, is_over: bool) -> bool {
    match (removed, copy) {
        (Content::Upstream { written: removed, .. }, Content::Upstream { written: copy, .. }) => {
            copy > removed
        }
        _ => is_over,
    }
}

/// Returns whether what was not written again since `returned` is gone.
#[must_use]
pub fn is_over(returned: Instant, now: Instant) -> bool {
    now.saturating_duration_since(returned) >= WRITTEN_AGAIN
}
