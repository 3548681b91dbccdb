//! Figures of the callers' server, for the dump.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time::Duration;

use hdrhistogram::Histogram;
use model::verdict;
use serde::Serialize;

/// Longest time that is recorded, in microseconds.
const LONGEST_US: u64 = 120_000_000;

/// Digits of a time that are kept.
const DIGITS: u8 = 2;

/// Counts and times since the start.
#[derive(Debug)]
pub struct Stats {
    lookups: atomic::AtomicU64,
    inner: sync::Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    answered: Histogram<u64>,
    failures: collections::BTreeMap<(&'static str, &'static str), u64>,
}

/// The figures as the dump shows them. Times are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Figures {
    /// Look-ups answered.
    pub lookups: u64,
    /// Requests whose answer began.
    pub answered: u64,
    /// Median time to the answer's head.
    pub p50_us: u64,
    /// 99th percentile of it.
    pub p99_us: u64,
    /// 99.9th percentile of it.
    pub p999_us: u64,
    /// Failed requests by verdict and reason.
    pub failures: collections::BTreeMap<String, u64>,
}

impl Default for Stats {
    fn default() -> Self {
        Self::new()
    }
}

impl Stats {
    /// Makes empty figures.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are constants that it accepts.
    #[must_use]
    pub fn new() -> Self {
        let answered = Histogram::new_with_bounds(1, LONGEST_US, DIGITS)
            .expect("the histogram's bounds are valid constants");
        let inner = Inner { answered, failures: collections::BTreeMap::new() };
        Self { lookups: atomic::AtomicU64::new(0), inner: sync::Mutex::new(inner) }
    }

    /// Counts a look-up.
    pub fn lookup(&self) {
        self.lookups.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Counts a request.
    pub fn request(&self, time: Duration, failure: Option<&verdict::Failure>) {
        let mut inner = self.lock();
        match failure {
            None => {
                let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
                inner.answered.saturating_record(micros.clamp(1, LONGEST_US));
            }
            Some(failure) => {
                let key = (failure.verdict.as_str(), failure.reason.as_str());
                *inner.failures.entry(key).or_insert(0) += 1;
            }
        }
    }

    /// Returns the figures so far.
    #[must_use]
    pub fn figures(&self) -> Figures {
        let inner = self.lock();
        let failures = inner.failures.iter();
        let failures = failures.map(|((verdict, reason), n)| (format!("{verdict}/{reason}"), *n));
        Figures {
            lookups: self.lookups.load(atomic::Ordering::Relaxed),
            answered: inner.answered.len(),
            p50_us: inner.answered.value_at_quantile(0.5),
            p99_us: inner.answered.value_at_quantile(0.99),
            p999_us: inner.answered.value_at_quantile(0.999),
            failures: failures.collect(),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
