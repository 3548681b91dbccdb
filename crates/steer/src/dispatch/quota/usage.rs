//! Demand and admitted requests of an organisation, as nodes report them to each other.

use std::time::Duration;

use model::id;
use xxhash_rust::xxh3;

use crate::dispatch::quota::report_timing;

/// Time constant of the reported rates.
///
/// Ten times the time between two reports, and long enough that a few requests still give a usable
/// rate.
pub const TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Shortest time, in time constants, for which the decay within it is taken into account.
const MIN_DECAY_TIME: f64 = 1e-6;

/// Largest assumed jitter of reports: a rate that falls no further than it decays in that time does
/// not indicate a restart.
///
/// Without this allowance, each late report of a falling rate counted as a restart and deducted the
/// whole rate again. A deployment of 75 nodes then refused a third of all requests although they
/// were below the limits, and a test day in which all nodes are killed scored 0.210 instead of
/// 0.586.
const MAX_JITTER: Duration = Duration::from_secs(1);

/// Difference between two rates that may be due to rounding, as reports hold hundredths of a
/// request per second.
const ROUNDING_TOLERANCE: f64 = 0.011;

/// Hash of an organisation's name that identifies it in reports between nodes.
///
/// The hash has 32 bits: among 10,000 organisations, two share one with a probability of about 1 %.
/// Both are then held to the limit of one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u32);

impl Key {
    /// Stands for all organisations together.
    pub const ALL: Self = Self(0);

    /// Returns the key of an organisation.
    #[must_use]
    pub fn for_organisation(organisation: &id::Organisation) -> Self {
        let hash = xxh3::xxh3_64(organisation.as_str().as_bytes());
        #[expect(clippy::cast_possible_truncation, reason = "the low half of a hash")]
        let key = hash as u32;
        Self(key.max(1))
    }
}

/// Demand and admitted requests of an organisation at one node, or at several together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// The organisation.
    pub key: Key,
    /// Requests per second that reach the node.
    pub asked: f64,
    /// Requests per second that the node admits.
    pub admitted: f64,
    /// Recent requests that the node admitted beyond its share of the limit.
    pub excess: f64,
    /// Requests that the fleet admitted beyond the limit and has not repaid yet, as the node
    /// estimates them.
    pub debt: f64,
    /// Whether the organisation is near its limit, so that the other nodes should report their
    /// usage too.
    pub is_near: bool,
}

impl Usage {
    /// Returns the usage of an organisation without requests.
    #[must_use]
    pub fn idle(key: Key) -> Self {
        Self { key, asked: 0.0, admitted: 0.0, excess: 0.0, debt: 0.0, is_near: false }
    }

    /// Returns how many requests were admitted since `previous` was reported, `age` ago.
    ///
    /// A rate is a sum of requests that decay with [`TIME_CONSTANT`], so two rates determine how
    /// many requests came between them, however many reports between them were lost. A rate that
    /// fell faster than it decays, even allowing for jitter, means that the node restarted:
    /// requests that it admitted but did not report before are unknown, and the requests admitted
    /// since are given by its rate.
    #[must_use]
    pub fn admitted_since(
        &self,
        previous: &Self,
        age: Duration,
        timing: report_timing::ReportTiming,
    ) -> Admitted {
        let time_constant = TIME_CONSTANT.as_secs_f64();
        let decay_time = age.as_secs_f64() / time_constant;
        let jitter = MAX_JITTER.as_secs_f64() / time_constant;
        let added = self.admitted - previous.admitted * (-decay_time).exp();
        let min_rate = previous.admitted * (-decay_time - jitter).exp() - ROUNDING_TOLERANCE;
        // Part of the requests that has not decayed yet, if they came evenly since the last report
        // or within the delay in which requests have to be reported, whichever is shorter.
        let spread = decay_time.min(timing.max_delay.as_secs_f64() / time_constant);
        let remaining = if spread > MIN_DECAY_TIME { -(-spread).exp_m1() / spread } else { 1.0 };
        match self.admitted >= min_rate {
            true => Admitted::SinceReport(added.max(0.0) * time_constant / remaining),
            false => Admitted::SinceRestart(self.admitted * time_constant),
        }
    }
}

/// Requests that a node admitted between two of its reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admitted {
    /// All requests since the previous report.
    SinceReport(f64),
    /// The requests since the node restarted.
    SinceRestart(f64),
}
