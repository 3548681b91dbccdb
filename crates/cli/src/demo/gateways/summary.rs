//! The report: what responses said, against what upstreams recorded.
//!
//! It owns the counts and their two forms; it relies on the outcomes of the callers and the records
//! of the upstreams.

use std::collections;
use std::time::Duration;

use serde_json::json;
use standin::platform::upstream;

use crate::demo::gateways::callers;
use crate::demo::gateways::faults;
use crate::printer;

/// The report.
#[derive(Debug)]
pub struct Report {
    rows: Vec<Row>,
    ran_twice: usize,
    not_run_but_ran: usize,
    wrong: usize,
}

/// The requests of one phase.
#[derive(Debug)]
struct Row {
    name: String,
    requests: usize,
    whole: usize,
    not_run: usize,
    unknown: usize,
    p50: Duration,
    p99: Duration,
}

impl Report {
    /// Counts.
    #[must_use]
    pub fn new(results: &[faults::Result], records: &[upstream::Record]) -> Self {
        let mut ran: collections::HashMap<&str, u32> = collections::HashMap::new();
        for (id, times) in records.iter().flat_map(|record| &record.ran) {
            *ran.entry(id).or_default() += times;
        }
        let times = |outcome: &callers::Outcome| ran.get(outcome.id.as_str()).copied().unwrap_or(0);
        let outcomes = || results.iter().flat_map(|result| &result.outcomes);
        let count =
            |holds: &dyn Fn(&callers::Outcome) -> bool| outcomes().filter(|o| holds(o)).count();
        Self {
            rows: results.iter().map(Row::of).collect(),
            ran_twice: count(&|o| !o.is_repeatable && times(o) > 1),
            not_run_but_ran: count(&|o| {
                !o.is_repeatable && o.verdict == callers::Verdict::NotRun && times(o) > 0
            }),
            wrong: count(&|o| o.verdict == callers::Verdict::Wrong),
        }
    }

    /// Returns whether every promise was kept.
    #[must_use]
    pub fn is_kept(&self) -> bool {
        let has_served = self.rows.iter().all(|row| row.whole * 2 > row.requests);
        has_served && self.ran_twice + self.not_run_but_ran + self.wrong == 0
    }

    /// Returns the report for a person.
    #[must_use]
    pub fn as_text(&self) -> String {
        let header = ["phase", "requests", "whole", "not run", "unknown", "p50 ms", "p99 ms"];
        let rows: Vec<Vec<String>> = self.rows.iter().map(Row::cells).collect();
        let verdict = match self.is_kept() {
            true => "every promise was kept",
            false => "a promise was broken",
        };
        format!(
            "{}\nran twice: {}\ntold not run, but ran: {}\nanswers to another request: {}\n\n{verdict}",
            printer::table(&header, &rows),
            self.ran_twice,
            self.not_run_but_ran,
            self.wrong
        )
    }

    /// Returns the report for a program.
    #[must_use]
    pub fn as_json(&self) -> serde_json::Value {
        let phases: Vec<serde_json::Value> = self.rows.iter().map(Row::as_json).collect();
        json!({
            "phases": phases,
            "ran_twice": self.ran_twice,
            "told_not_run_but_ran": self.not_run_but_ran,
            "answers_to_another_request": self.wrong,
            "every_promise_kept": self.is_kept(),
        })
    }
}

impl Row {
    fn of(result: &faults::Result) -> Self {
        let count = |verdict| result.outcomes.iter().filter(|o| o.verdict == verdict).count();
        let answered = result.outcomes.iter().filter(|o| o.verdict == callers::Verdict::Whole);
        let mut times: Vec<Duration> = answered.map(|o| o.took).collect();
        times.sort_unstable();
        let quantile = |part: usize| times.get(times.len() * part / 100).copied();
        Self {
            name: result.name.to_owned(),
            requests: result.outcomes.len(),
            whole: count(callers::Verdict::Whole),
            not_run: count(callers::Verdict::NotRun),
            unknown: count(callers::Verdict::Unknown),
            p50: quantile(50).unwrap_or_default(),
            p99: quantile(99).unwrap_or_default(),
        }
    }

    fn cells(&self) -> Vec<String> {
        let millis = |time: Duration| format!("{:.1}", time.as_secs_f64() * 1_000.0);
        let counts = [self.requests, self.whole, self.not_run, self.unknown];
        let mut cells = vec![self.name.clone()];
        cells.extend(counts.iter().map(usize::to_string));
        cells.extend([millis(self.p50), millis(self.p99)]);
        cells
    }

    fn as_json(&self) -> serde_json::Value {
        json!({
            "phase": self.name,
            "requests": self.requests,
            "whole": self.whole,
            "not_run": self.not_run,
            "unknown": self.unknown,
            "p50_ms": self.p50.as_secs_f64() * 1_000.0,
            "p99_ms": self.p99.as_secs_f64() * 1_000.0,
        })
    }
}
