//! Coverage: the situations that the generated cases reach.

use std::collections;
use std::fmt;

/// The situations that at least one case must reach.
const ALL: [&str; 15] = [
    "run",
    "run on a lease",
    "run while another node is paused",
    "run while links are cut",
    "run while the store is away",
    "run by a node that is not the owner",
    "queued",
    "refused",
    "paused with requests in flight",
    "killed with requests in flight",
    "abandoned",
    "epoch changed with requests in flight",
    "departed node forgotten",
    "answer of a write lost",
    "node stopped as planned",
];

/// The situations that one case reached.
#[derive(Clone, Debug, Default)]
pub struct Met(collections::BTreeSet<&'static str>);

impl Met {
    /// Records a situation.
    pub fn record(&mut self, what: &'static str) {
        debug_assert!(ALL.contains(&what), "{what} is not in the table");
        self.0.insert(what);
    }

    /// Records a situation if `is_met`.
    pub fn record_if(&mut self, is_met: bool, what: &'static str) {
        if is_met {
            self.record(what);
        }
    }
}

/// The number of cases that reached each situation.
#[derive(Debug, Default)]
pub struct Table {
    cases: usize,
    met: collections::BTreeMap<&'static str, usize>,
}

impl Table {
    /// Adds a case.
    pub fn add(&mut self, met: &Met) {
        self.cases += 1;
        for what in &met.0 {
            *self.met.entry(what).or_insert(0) += 1;
        }
    }

    /// Returns the situations that no case reached.
    pub fn unmet(&self) -> Vec<&'static str> {
        ALL.into_iter().filter(|what| !self.met.contains_key(what)).collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for what in ALL {
            let met = self.met.get(what).copied().unwrap_or(0);
            writeln!(f, "{:>3} % of {} cases: {what}", met * 100 / self.cases.max(1), self.cases)?;
        }
        Ok(())
    }
}
