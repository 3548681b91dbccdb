//! The figures of one run.

use std::collections;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Columns of the table.
pub const COLUMNS: [&str; 9] = [
    "scenario",
    "policy",
    "p50",
    "p99",
    "p999",
    "p99 / ideal",
    "overloads",
    "use",
    "refused, drain",
];

/// Counts while a run goes on.
#[derive(Debug)]
pub struct Counts {
    /// Latencies in microseconds.
    pub times: Histogram<u64>,
    /// Requests whose caller was refused.
    pub refused: u64,
    /// Requests that reached a full upstream.
    pub overloads: u64,
    /// Greatest slots in use by region.
    pub greatest: collections::BTreeMap<usize, u32>,
    /// When the drained hall got its last new work, after the drain's start.
    pub drain: Option<Duration>,
}

/// The figures.
#[derive(Debug)]
pub struct Figures {
    /// Latencies in milliseconds.
    pub p50_ms: f64,
    /// See above.
    pub p99_ms: f64,
    /// See above.
    pub p999_ms: f64,
    overloads: u64,
    greatest_use: f64,
    refused: f64,
    drain: Option<Duration>,
}

impl Counts {
    /// Makes empty counts.
    #[must_use]
    pub fn new() -> Self {
        Self {
            times: Histogram::new_with_bounds(1, 600_000_000, 3).expect("the bounds are valid"),
            refused: 0,
            overloads: 0,
            greatest: collections::BTreeMap::new(),
            drain: None,
        }
    }

    /// Notes a latency.
    pub fn answered(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.times.saturating_record(micros.max(1));
    }

    /// Returns the figures; `slots` are those of each region.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts of a run are small")]
    pub fn finish(&self, slots: &[u32]) -> Figures {
        let ms = |quantile: f64| self.times.value_at_quantile(quantile) as f64 / 1_000.0;
        let all = self.times.len() + self.refused;
        let uses = self.greatest.iter();
        let uses = uses.map(|(region, most)| f64::from(*most) / f64::from(slots[*region]));
        Figures {
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
            p999_ms: ms(0.999),
            overloads: self.overloads,
            greatest_use: uses.fold(0.0, f64::max),
            refused: self.refused as f64 / all.max(1) as f64,
            drain: self.drain,
        }
    }
}

impl Figures {
    /// Returns the row of the table.
    #[must_use]
    pub fn row(&self, scenario: String, policy: &str, ideal_p99: f64) -> Vec<String> {
        let ratio = match ideal_p99.is_nan() {
            true => "-".to_owned(),
            false => format!("{:.2}", self.p99_ms / ideal_p99),
        };
        let drain = self.drain.map_or_else(String::new, |time| {
            format!(", drained after {:.2} s", time.as_secs_f64())
        });
        vec![
            scenario,
            policy.to_owned(),
            format!("{:.1}", self.p50_ms),
            format!("{:.1}", self.p99_ms),
            format!("{:.1}", self.p999_ms),
            ratio,
            self.overloads.to_string(),
            format!("{:.0} %", self.greatest_use * 100.0),
            format!("{:.2} %{drain}", self.refused * 100.0),
        ]
    }
}
