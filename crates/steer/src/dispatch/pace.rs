//! Pace: how long work takes on an upstream's machine at this moment, compared with the usual time.
//!
//! Upstreams report it in their responses. Other work on the machine changes it several times a second,
//! so the expected time of an upstream follows it for a moment only, and observed processing times are
//! divided by it before [`expected_processing_time`] and [`processing_time_ratio`] learn them.
//!
//! [`expected_processing_time`]: crate::dispatch::expected_processing_time
//! [`processing_time_ratio`]: crate::dispatch::processing_time_ratio

use std::collections;
use std::time::{Duration, Instant};

use crate::dispatch::peer_load;
use crate::dispatch::seconds;

/// Time constant with which a reported pace decays to the usual one.
///
/// Slow phases last for fractions of a second, and part of one is over when an answer shows it.
const DECAY_TIME: Duration = Duration::from_millis(300);

/// Pace from which other nodes are told, in percent.
const SLOW: u32 = 150;

/// Age up to which the latest observation, own or reported, is kept when another node reports one.
const OWN_PRECEDENCE: Duration = Duration::from_millis(150);

/// Greatest age of an observation that is reported to other nodes, which take it for a new one.
const MAX_REPORTED_AGE: Duration = Duration::from_millis(150);

/// Greatest number of upstreams in one report, which bounds its size to about 600 bytes.
const MAX_REPORTED: usize = 100;

/// Reported pace of an upstream that works as usual, in percent.
const USUAL: f64 = 100.0;

/// Least and greatest factor that counts as reported, so that a wrong report neither hides an
/// upstream's slowness nor keeps all requests away from it.
const FACTORS: (f64, f64) = (0.25, 4.0);

/// Latest pace that an upstream reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    latest: Option<(f64, Instant)>,
}

impl Pace {
    /// Records the pace of a response, in percent.
    pub fn record(&mut self, percent: Option<u32>, now: Instant) {
        if let Some(factor) = percent.and_then(valid_factor) {
            self.latest = Some((factor, now));
        }
    }

    /// Records the pace that another node observed just now, in percent.
    pub fn record_peer(&mut self, percent: u32, now: Instant) {
        let is_known =
            self.latest.is_some_and(|(_, at)| now.saturating_duration_since(at) < OWN_PRECEDENCE);
        if !is_known {
            self.record(Some(percent), now);
        }
    }

    /// Returns the factor by which work is expected to take longer than usual.
    #[must_use]
    pub fn get(&self, now: Instant) -> f64 {
        let Some((factor, at)) = self.latest else { return 1.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        1.0 + (factor - 1.0) * (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}

/// Returns the factor that a reported pace stands for, or `None` if it is out of range.
fn valid_factor(percent: u32) -> Option<f64> {
    let (least, greatest) = FACTORS;
    let factor = f64::from(percent) / USUAL;
    (least..=greatest).contains(&factor).then_some(factor)
}

/// Returns the time that work of `time`, done at a reported pace, usually takes.
#[must_use]
pub fn usual_time(time: seconds::Seconds, percent: Option<u32>) -> seconds::Seconds {
    seconds::Seconds(time.0 / percent.and_then(valid_factor).unwrap_or(1.0))
}

/// An upstream on which work takes long at this moment, as reported to other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slow {
    /// The upstream.
    pub upstream: peer_load::Key,
    /// How long work takes, in percent of the usual time.
    pub percent: u32,
}

/// Slow upstreams that this node's latest answers showed and that it has not reported yet.
///
/// A node gets an answer of a given upstream every few seconds only, so nodes tell each other.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    by_upstream: collections::BTreeMap<peer_load::Key, (u32, Instant)>,
}

impl Observations {
    /// Records the pace of a response, in percent.
    pub fn record(&mut self, upstream: peer_load::Key, percent: Option<u32>, now: Instant) {
        match percent {
            Some(percent) if percent >= SLOW && valid_factor(percent).is_some() => {
                self.by_upstream.insert(upstream, (percent, now));
            }
            _ => _ = self.by_upstream.remove(&upstream),
        }
    }

    /// Returns what was observed since the last report; empty where no upstream is slow.
    pub fn report(&mut self, now: Instant) -> Vec<Slow> {
        let observed = std::mem::take(&mut self.by_upstream).into_iter();
        let is_fresh = |at: Instant| now.saturating_duration_since(at) <= MAX_REPORTED_AGE;
        let fresh = observed.filter(|(_, (_, at))| is_fresh(*at));
        fresh
            .map(|(upstream, (percent, _))| Slow { upstream, percent })
            .take(MAX_REPORTED)
            .collect()
    }
}
