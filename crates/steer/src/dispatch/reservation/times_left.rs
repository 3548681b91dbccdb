//! Time left that first requests on each route usually have, learned from the requests.
//!
//! Keeps the latest times left of each route. First requests have the longest ones: each is followed
//! by one return at most, so that about half of all requests are first ones even if every caller is
//! refused. The usual time left is therefore taken from the upper half, below the longest ones, which
//! may be those of a few odd callers.

use std::collections;
use std::time::Duration;

use model::id;

/// Latest requests of a route that are kept.
const SAMPLES: usize = 128;

/// Requests of a route from which its usual time left is known.
const MIN_SAMPLES: usize = 16;

/// Requests of a route after which its usual time left is determined again.
const INTERVAL: u32 = 16;

/// Part of the requests with the longest times left that is ignored: up to a fifth of the callers
/// may have other deadlines than the rest.
const IGNORED: f64 = 0.2;

/// Part of the requests, from the longest time left, within which the times must agree. Less than the
/// part of first requests when every caller returns once and a few return several times.
const AGREEING: f64 = 0.35;

/// Greatest difference between times left that agree, as a fraction. Where callers have many
/// different deadlines, a shorter time left does not indicate a return.
const AGREEMENT: f64 = 0.02;

/// Difference from the usual time left, as a fraction of it, within which a request counts as a first
/// one: where all callers state the same time, and where their times differ a little.
const TOLERANCES: (f64, f64) = (0.002, 0.03);

/// Routes that are observed; about 600 bytes each.
const MAX_ROUTES: usize = 256;

/// Time left that first requests on a route usually have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usual {
    /// The time, more than zero.
    pub time: Duration,
    /// Difference from it, as a fraction, within which a request counts as a first one.
    pub tolerance: f64,
}

/// Times left of the latest requests on one route, in milliseconds.
#[derive(Clone, Debug, Default)]
struct Samples {
    latest: Vec<u32>,
    next: usize,
    since: u32,
    usual: Option<Usual>,
}

/// Usual time left of first requests by route.
#[derive(Clone, Debug, Default)]
pub struct TimesLeft {
    by_route: collections::HashMap<id::Route, Samples>,
}

impl TimesLeft {
    /// Records the time left that a request states on its arrival; returns the usual one of first
    /// requests on its route.
    pub fn record(&mut self, route: &id::Route, time_left: Duration) -> Option<Usual> {
        if !self.by_route.contains_key(route) {
            if self.by_route.len() >= MAX_ROUTES {
                return None;
            }
            self.by_route.insert(route.clone(), Samples::default());
        }
        self.by_route.get_mut(route)?.record(time_left)
    }

    /// Drops the routes that `is_known` does not select.
    pub fn retain(&mut self, is_known: impl Fn(&id::Route) -> bool) {
        self.by_route.retain(|route, _| is_known(route));
    }
}

impl Samples {
    fn record(&mut self, time_left: Duration) -> Option<Usual> {
        let millis = u32::try_from(time_left.as_millis()).unwrap_or(u32::MAX);
        match self.latest.get_mut(self.next) {
            Some(oldest) => *oldest = millis,
            None => self.latest.push(millis),
        }
        self.next = (self.next + 1) % SAMPLES;
        self.since += 1;
        if self.since >= INTERVAL && self.latest.len() >= MIN_SAMPLES {
            self.since = 0;
            self.usual = usual(&self.latest);
        }
        self.usual
    }
}

/// Returns the usual time left of first requests; `None` if the longest times left differ.
fn usual(latest: &[u32]) -> Option<Usual> {
    let mut sorted = latest.to_vec();
    sorted.sort_unstable_by_key(|millis| std::cmp::Reverse(*millis));
    let at = |part: f64| {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a part of a few samples"
        )]
        let index = (sorted.len() as f64 * part) as usize;
        sorted.get(index).copied().unwrap_or_default()
    };
    let (longest, shortest) = (at(IGNORED), at(AGREEING));
    let agree = f64::from(shortest) >= f64::from(longest) * (1.0 - AGREEMENT);
    let tolerance = if shortest == longest { TOLERANCES.0 } else { TOLERANCES.1 };
    let time = Duration::from_millis(u64::from(longest));
    (agree && longest > 0).then_some(Usual { time, tolerance })
}
