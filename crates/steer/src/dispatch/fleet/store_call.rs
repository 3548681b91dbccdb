//! Store calls: timeouts of calls to the store, and backoff after failures.
//!
//! Every duration is a share of [`bound`], which is `Bounds::contact` unless `Bounds::drain` is
//! much shorter. `contact` is the time after a disruption from which a node has to meet its bounds
//! on configurations and leaving upstreams again. A call that began just before the end of the
//! disruption may never be answered: an unresponsive store drops it, and an open connection may
//! stay silent. The longest sequence of waits, [`longest_gap`], is shorter than that bound, so a
//! node that has to meet its bounds has received an answer from the store since the disruption.
//!
//! A node that does not watch the store must learn of a change within `Bounds::drain` even if the
//! store stops answering the watchers, so [`longest_takeover`], the time until the node starts to
//! watch, is shorter than that.

use std::time::Duration;

use model::bounds;

/// Upper limit of [`bound`], as a multiple of `Bounds::drain`.
///
/// Keeps [`longest_takeover`] below `Bounds::drain` for values of 2 s and more, regardless of
/// `Bounds::contact`.
const MAX_DRAIN_MULTIPLE: f64 = 1.5;

/// Interval between checks whether a node should start to watch the store.
pub const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Maximum duration of a watch without changes, as a share of [`bound`].
///
/// Shorter watches renew the contact sooner after the store has been silent, but need more calls.
const WATCH_SHARE: f64 = 0.5;

/// Lower limit of that duration, so that a small bound does not cause a storm of calls.
///
/// With it and [`MIN_ANSWER_TIMEOUT`], consecutive waits stay below bounds of 2 s and more.
const MIN_WATCH: Duration = Duration::from_millis(500);

/// Timeout for the answer to a watch in addition to its duration, as a share of [`bound`].
const WATCH_ANSWER_SHARE: f64 = 1.0 / 6.0;

/// Minimum timeout for any answer; a slow store (0.24 s) in another region (0.07 s) answers within
/// it.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout for the answer to a call that does not wait for changes, as a share of [`bound`].
const CALL_SHARE: f64 = 1.0 / 3.0;

/// Timeout for reading all keys, whose answer may be large, as a share of [`bound`].
const READ_SHARE: f64 = 0.5;

/// Pause after the first failure, as a share of [`bound`].
const FIRST_PAUSE_SHARE: f64 = 1.0 / 15.0;

/// Maximum pause of a node that is among the first to watch the store, as a share of [`bound`].
const MAX_PAUSE_SHARE: f64 = 1.0 / 6.0;

/// Maximum pause of any other node, as a share of [`bound`].
///
/// Longer, because the first nodes announce changes to the others, and every call is billed,
/// including refused ones.
const OTHERS_MAX_PAUSE_SHARE: f64 = 0.5;

/// Random variation of a pause in either direction, as a share of it, so that nodes that failed at
/// the same time do not retry at the same time.
const JITTER: f64 = 0.5;

/// Returns the duration that the times of this module are shares of.
#[must_use]
pub fn bound(bounds: &bounds::Bounds) -> Duration {
    bounds.contact.min(bounds.drain.mul_f64(MAX_DRAIN_MULTIPLE))
}

/// Returns the maximum duration of a watch.
#[must_use]
pub fn watch(bound: Duration) -> Duration {
    bound.mul_f64(WATCH_SHARE).max(MIN_WATCH)
}

/// Returns the maximum duration of the first watch after a change, where `share` is the share of
/// the usual duration that the watcher uses, from 0 to 1.
#[must_use]
pub fn watch_after_change(bound: Duration, share: f64) -> Duration {
    watch(bound).mul_f64(share)
}

/// Returns the timeout for the answer to a watch, in addition to its duration.
#[must_use]
pub fn watch_answer_timeout(bound: Duration) -> Duration {
    bound.mul_f64(WATCH_ANSWER_SHARE).max(MIN_ANSWER_TIMEOUT)
}

/// Returns the timeout for the answer to a call that does not wait for changes.
#[must_use]
pub fn answer_timeout(bound: Duration) -> Duration {
    bound.mul_f64(CALL_SHARE).max(MIN_ANSWER_TIMEOUT)
}

/// Returns the timeout for reading all keys.
#[must_use]
pub fn read_timeout(bound: Duration) -> Duration {
    bound.mul_f64(READ_SHARE).max(MIN_ANSWER_TIMEOUT)
}

/// Returns the longest time without an answer from the store at a node that is among the first to
/// watch, while the store answers new calls.
///
/// Either an unanswered watch and the pause after it, or an unanswered call and the maximum pause.
#[must_use]
pub fn longest_gap(bound: Duration) -> Duration {
    let max_factor = 1.0 + JITTER;
    let after_watch =
        watch(bound) + watch_answer_timeout(bound) + bound.mul_f64(FIRST_PAUSE_SHARE * max_factor);
    let after_failure = answer_timeout(bound) + bound.mul_f64(MAX_PAUSE_SHARE * max_factor);
    after_watch.max(after_failure)
}

/// Returns the longest time until a node that does not watch the store starts to, once the store no
/// longer answers the watchers.
///
/// Worst case: a change arrives just after another one for which all watchers delay their next
/// watch, and the next watch of the last watcher is not answered. That watcher delays its watch by
/// `batch_delay` and then uses `share` of the usual duration.
#[must_use]
pub fn longest_takeover(bound: Duration, batch_delay: Duration, share: f64) -> Duration {
    batch_delay + watch_after_change(bound, share) + watch_answer_timeout(bound) + CHECK_PERIOD
}

/// Whether a node is among the first live nodes of its region that should watch the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// The node watches as soon as it can.
    First,
    /// Other nodes take precedence.
    Later,
}

/// Exponential backoff after consecutive failures.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Returns whether the latest call failed.
    ///
    /// The next call then does not wait for changes, because only an immediate answer shows quickly
    /// that the store is available again.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Resets the backoff after an answer.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and returns the pause after it. `draw` is a uniform random number from 0
    /// to 1.
    pub fn pause(&mut self, bound: Duration, turn: Turn, draw: f64) -> Duration {
        let longest = match turn {
            Turn::First => bound.mul_f64(MAX_PAUSE_SHARE),
            Turn::Later => bound.mul_f64(OTHERS_MAX_PAUSE_SHARE),
        };
        let doubled = bound.mul_f64(FIRST_PAUSE_SHARE).saturating_mul(1 << self.failures.min(8));
        self.failures = self.failures.saturating_add(1);
        doubled.min(longest).mul_f64(1.0 - JITTER + 2.0 * JITTER * draw)
    }
}
