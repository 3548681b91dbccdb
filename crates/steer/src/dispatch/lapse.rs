//! Lapses: entries that go without a word, perhaps only since their source was away.
//!
//! Upstreams renew their entries. While the source of entries is away they cannot, so all entries may
//! go at once though nearly all upstreams live; those that live are back soon after the source.

use std::time::{Duration, Instant};

use model::bounds;

/// Time after the source's return within which living upstreams have written their entries again,
/// with a margin for the delay of news.
const RETURN: Duration = Duration::from_millis(1_800);

/// Part of the bound on leaving upstreams that is used when nothing but the number of entries that
/// went at once tells of a lapse.
const UNCONFIRMED_USED: f64 = 0.5;

/// Part of all entries that do not go at once while their source is well.
const MOST_AT_ONCE: f64 = 0.5;

/// What tells whether entries that go may have lapsed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lapse {
    disturbed: Option<Instant>,
}

impl Lapse {
    /// Notes a sign that the source is away, or was until now.
    pub fn source_disturbed(&mut self, now: Instant) {
        self.disturbed = Some(now);
    }

    /// Returns until when upstreams are used whose entries go now, `gone` of the `known` ones; none
    /// when they are to be taken as gone.
    #[must_use]
    pub fn used_until(
        &self,
        gone: usize,
        known: usize,
        bounds: &bounds::Bounds,
        now: Instant,
    ) -> Option<Instant> {
        let is_disturbed =
            self.disturbed.is_some_and(|at| now.saturating_duration_since(at) <= bounds.contact);
        #[expect(clippy::cast_precision_loss, reason = "a few thousand entries")]
        let is_most = gone as f64 >= known as f64 * MOST_AT_ONCE && gone > 1;
        match (is_disturbed, is_most) {
            (true, _) => Some(now + RETURN.min(bounds.drain)),
            (false, true) => Some(now + RETURN.min(bounds.drain.mul_f64(UNCONFIRMED_USED))),
            (false, false) => None,
        }
    }
}
