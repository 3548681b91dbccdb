//! How often usages are repeated in reports, and for how long a reported usage stays valid.
//!
//! Changes are reported at once, independent of this timing.

use std::time::Duration;

/// Longest time until a usage is reported again if there are few of them; a quarter of
/// [`VALIDITY`].
const SHORT_INTERVAL: Duration = Duration::from_millis(380);

/// Longest time until a usage is reported again if there are many. Changed limits and started nodes
/// still become known within the bound on contact.
const LONG_INTERVAL: Duration = Duration::from_millis(2_000);

/// Time that each usage adds to the interval for each receiving node. With 18 bytes per usage, this
/// interval bounds the traffic to 1.5 KB per second.
const TIME_PER_USAGE: Duration = Duration::from_millis(12);

/// Time for which a usage that is repeated every [`SHORT_INTERVAL`] stays valid, so that three
/// repetitions in a row may be lost.
const VALIDITY: Duration = Duration::from_millis(1_500);

/// Time for which a node is assumed to admit requests at its last reported rate; a little more than
/// the time between two reports.
///
/// Short because a node stops reporting an organisation that is no longer near its limit.
const EXTRAPOLATION: Duration = Duration::from_millis(600);

/// Time within which an admitted request is reported when rates are not extrapolated: several
/// reports of a node in a small region, one report in a large region.
const MAX_DELAY: Duration = Duration::from_millis(200);

/// Timing of reported usages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportTiming {
    /// Longest time until a usage is reported again.
    pub interval: Duration,
    /// Time for which a reported usage stays valid.
    pub validity: Duration,
    /// Time for which a node is assumed to admit requests at its last reported rate; zero to
    /// disable this.
    pub extrapolation: Duration,
    /// Time within which an admitted request is reported.
    pub max_delay: Duration,
}

impl Default for ReportTiming {
    fn default() -> Self {
        Self {
            interval: SHORT_INTERVAL,
            validity: VALIDITY,
            extrapolation: EXTRAPOLATION,
            max_delay: Duration::MAX,
        }
    }
}

impl ReportTiming {
    /// Returns the timing for `usages` that are sent to each of `nodes` other nodes, without
    /// extrapolation.
    ///
    /// Extrapolation would treat a node that sends a single request now and then as one that sends
    /// requests continuously.
    #[must_use]
    pub fn without_extrapolation(usages: usize, nodes: usize) -> Self {
        let sent = u32::try_from(usages.saturating_mul(nodes)).unwrap_or(u32::MAX);
        let interval = TIME_PER_USAGE.saturating_mul(sent).clamp(SHORT_INTERVAL, LONG_INTERVAL);
        let validity = VALIDITY.mul_f64(interval.as_secs_f64() / SHORT_INTERVAL.as_secs_f64());
        Self { interval, validity, extrapolation: Duration::ZERO, max_delay: MAX_DELAY }
    }

    /// Returns whether nodes are assumed to continue at their last reported rates.
    #[must_use]
    pub fn extrapolates(&self) -> bool {
        !self.extrapolation.is_zero()
    }
}
