//! The report of the demo: what callers saw, against what ran.
//!
//! It owns the counts, the verdict on each promise and both forms of the report; it relies on the
//! callers' log and the upstreams' record.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::json;
use standin::record;

use crate::demo::owners::example;
use crate::demo::owners::phase;
use crate::demo::owners::shift;
use crate::demo::owners::traffic;
use crate::printer;

/// Requests that the grain of each node's turn may misplace in a span: a place's callers use up to
/// three nodes, each right within one request at both ends.
const GRAIN: f64 = 6.0;

/// Rounding of shares in the nodes' state, which has them in hundred-thousandths of a per cent.
const ROUNDING: f64 = 1e-6;

/// Longest time in which a leaving upstream may still get new work.
const LEAVING_TIME: Duration = Duration::from_secs(5);

/// Names of the table's columns.
const COLUMNS: [&str; 10] = [
    "phase",
    "requests",
    "whole",
    "not run",
    "may have run",
    "lost",
    "p50 ms",
    "p99 ms",
    "p999 ms",
    "drain s",
];

/// The report.
#[derive(Debug)]
pub struct Report {
    rows: Vec<Row>,
    total: Row,
    ran_twice: usize,
    not_run_but_ran: usize,
    over_slots: u64,
    greatest_use: f64,
    shift: record::Shift,
    cap: f64,
    moved: record::Shift,
    moved_cap: f64,
    broken: Vec<String>,
}

/// The requests of one phase.
#[derive(Debug, Default)]
struct Row {
    name: String,
    requests: usize,
    whole: usize,
    not_run: usize,
    may_have_run: usize,
    lost: usize,
    p50: Duration,
    p99: Duration,
    p999: Duration,
    drain_time: Option<Duration>,
    reasons: std::collections::BTreeMap<String, usize>,
}

impl Report {
    /// Counts.
    ///
    /// # Errors
    ///
    /// Never in practice: the histogram's bounds are constants.
    pub fn new(
        example: &example::Example,
        seen: &shift::Seen<'_>,
        records: &[traffic::Record],
        measured: Vec<phase::Measured>,
    ) -> anyhow::Result<Self> {
        let record = seen.record;
        let mut rows = Vec::new();
        for (index, phase) in phase::Phase::ALL.into_iter().enumerate() {
            let of_phase = records.iter().filter(|r| r.phase == index);
            let mut row = Row::new(phase.name(), of_phase)?;
            row.drain_time = measured.get(index).and_then(|m| m.drain_time);
            rows.push(row);
        }
        let total = Row::new("all", records.iter())?;
        let once = records.iter().filter(|r| r.is_once);
        let ran_twice = once.filter(|r| record.runs(&r.id) > 1).count();
        let refused = records.iter().filter(|r| r.end == traffic::End::NotRun);
        let not_run_but_ran = refused.filter(|r| record.runs(&r.id) > 0).count();
        let (shift, cap) = shift::of_arrivals(example, seen);
        let (moved, moved_cap) = shift::of_splits(example, seen.samples);
        let mut report = Self {
            rows,
            total,
            ran_twice,
            not_run_but_ran,
            over_slots: record.over_slots(),
            greatest_use: record.greatest_use(),
            shift,
            cap,
            moved,
            moved_cap,
            broken: measured.iter().flat_map(|m| m.broken.clone()).collect(),
        };
        report.judge(&measured);
        Ok(report)
    }

    /// Returns whether every promise was kept.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        self.broken.is_empty()
    }

    /// Returns the report as a JSON object.
    #[must_use]
    pub fn as_json(&self) -> serde_json::Value {
        json!({
            "requests": self.total.requests,
            "whole": self.total.whole,
            "not_run": self.total.not_run,
            "may_have_run": self.total.may_have_run,
            "lost": self.total.lost,
            "ran_twice": self.ran_twice,
            "not_run_but_ran": self.not_run_but_ran,
            "over_slots": self.over_slots,
            "greatest_use": self.greatest_use,
            "over_cap": self.is_over_cap(),
            "greatest_shift": self.shift.share,
            "cap": self.cap,
            "greatest_move": self.moved.share,
            "broken": self.broken,
            "phases": self.rows.iter().map(Row::as_json).collect::<Vec<_>>(),
        })
    }

    /// Returns the report as a table with its conclusion.
    #[must_use]
    pub fn as_text(&self) -> String {
        let rows: Vec<Vec<String>> =
            self.rows.iter().chain([&self.total]).map(Row::cells).collect();
        let mut lines = vec![printer::table(&COLUMNS, &rows), String::new()];
        lines.push(format!("ran twice: {}", self.ran_twice));
        lines.push(format!("told not run, but ran: {}", self.not_run_but_ran));
        lines.push(format!("requests that found their upstream full: {}", self.over_slots));
        lines.push(format!(
            "greatest use of an upstream's slots: {:.0} %",
            self.greatest_use * 100.0
        ));
        lines.push(format!(
            "greatest shift of a split in a window: {:.1} %, cap {:.0} % (as nodes had it in force)",
            self.moved.share * 100.0,
            self.moved_cap * 100.0
        ));
        lines.push(format!("  {}", self.moved.detail));
        for row in self.rows.iter().filter(|row| !row.reasons.is_empty()) {
            let reasons = row.reasons.iter().map(|(reason, n)| format!("{reason} {n}"));
            let reasons = reasons.collect::<Vec<_>>().join(", ");
            lines.push(format!("{}: {reasons}", row.name));
        }
        lines.push(String::new());
        match self.is_kept() {
            true => lines.push("every promise was kept".to_owned()),
            false => lines.extend(self.broken.iter().map(|b| format!("BROKEN: {b}"))),
        }
        lines.join("\n")
    }

    fn judge(&mut self, measured: &[phase::Measured]) {
        let mut expect = |holds: bool, broken: String| {
            if !holds {
                self.broken.push(broken);
            }
        };
        expect(self.total.lost == 0, format!("{} answers were lost", self.total.lost));
        expect(self.ran_twice == 0, format!("{} requests ran twice", self.ran_twice));
        expect(
            self.not_run_but_ran == 0,
            format!("{} requests ran that were told not to have", self.not_run_but_ran),
        );
        expect(
            self.over_slots == 0,
            format!("{} requests found their upstream full", self.over_slots),
        );
        let leave = phase::Phase::ALL.iter().position(|p| *p == phase::Phase::Leave);
        let drain_time = leave.and_then(|index| measured.get(index)?.drain_time);
        expect(
            drain_time.is_none_or(|time| time <= LEAVING_TIME),
            format!("a leaving upstream got new work after {drain_time:?}"),
        );
        if self.moved.share > self.moved_cap + ROUNDING {
            let share = self.moved.share * 100.0;
            self.broken.push(format!("a node moved {share:.1} % of a place's split in one window"));
        }
        if self.is_over_cap() {
            let share = self.shift.share * 100.0;
            self.broken.push(format!("{share:.1} % of a place's traffic moved in one window"));
        }
    }

    fn is_over_cap(&self) -> bool {
        self.shift.share > self.cap + self.grain()
    }

    #[expect(clippy::cast_precision_loss, reason = "counts of a span are small")]
    fn grain(&self) -> f64 {
        match self.shift.least {
            0 => 0.0,
            least => GRAIN / least as f64,
        }
    }
}

impl Row {
    fn new<'a>(
        name: &str,
        records: impl Iterator<Item = &'a traffic::Record>,
    ) -> anyhow::Result<Self> {
        let mut row = Self { name: name.to_owned(), ..Self::default() };
        let mut times = histogram()?;
        for record in records {
            row.requests += 1;
            match record.end {
                traffic::End::Whole => {
                    row.whole += 1;
                    let micros = u64::try_from(record.time.as_micros()).unwrap_or(u64::MAX);
                    times.saturating_record(micros.max(1));
                }
                traffic::End::NotRun => row.not_run += 1,
                traffic::End::MayHaveRun => row.may_have_run += 1,
                traffic::End::Lost => row.lost += 1,
            }
            if record.end != traffic::End::Whole {
                *row.reasons.entry(record.reason.clone()).or_insert(0) += 1;
            }
        }
        let at = |quantile: f64| Duration::from_micros(times.value_at_quantile(quantile));
        (row.p50, row.p99, row.p999) = (at(0.5), at(0.99), at(0.999));
        Ok(row)
    }

    fn cells(&self) -> Vec<String> {
        let millis = |time: Duration| format!("{:.1}", time.as_secs_f64() * 1_000.0);
        let drain = self.drain_time.map(|time| format!("{:.2}", time.as_secs_f64()));
        vec![
            self.name.clone(),
            self.requests.to_string(),
            self.whole.to_string(),
            self.not_run.to_string(),
            self.may_have_run.to_string(),
            self.lost.to_string(),
            millis(self.p50),
            millis(self.p99),
            millis(self.p999),
            drain.unwrap_or_else(|| "-".to_owned()),
        ]
    }

    fn as_json(&self) -> serde_json::Value {
        json!({
            "phase": self.name,
            "requests": self.requests,
            "whole": self.whole,
            "not_run": self.not_run,
            "may_have_run": self.may_have_run,
            "lost": self.lost,
            "p50_ms": self.p50.as_secs_f64() * 1_000.0,
            "p99_ms": self.p99.as_secs_f64() * 1_000.0,
            "p999_ms": self.p999.as_secs_f64() * 1_000.0,
            "drain_seconds": self.drain_time.map(|time| time.as_secs_f64()),
            "reasons": self.reasons,
        })
    }
}

/// Returns an empty histogram of times in microseconds.
///
/// # Errors
///
/// Never: the bounds are constants that it accepts.
fn histogram() -> anyhow::Result<Histogram<u64>> {
    Ok(Histogram::new_with_bounds(1, 120_000_000, 3)?)
}
