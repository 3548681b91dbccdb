//! Requests by organisation, for the metrics.
//!
//! Owns the counts. Only the largest organisations are shown by name, so that the number of series stays bounded.

use std::cell;
use std::cmp;
use std::collections;
use std::fmt::Write as _;

use model::id;
use model::organisation;
use model::routing;

/// Organisations that are shown by name; the others are shown together.
const SHOWN: usize = 10;

/// Name of all others.
const OTHERS: &str = "others";

/// Counts of one organisation, or of several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Count {
    requests: u64,
    over_quota: u64,
}

/// Requests by organisation. An organisation that the configuration no longer has is counted among the others.
#[derive(Debug, Default)]
pub struct Counts {
    by_name: cell::RefCell<collections::HashMap<id::Organisation, Count>>,
    gone: cell::Cell<Count>,
}

impl Counts {
    /// Takes over a configuration.
    pub fn configure(&self, routing: &routing::Routing) {
        let organisations = routing.organisations.iter().flat_map(organisation::Index::iter);
        let known: collections::HashSet<&id::Organisation> =
            organisations.map(|organisation| &organisation.name).collect();
        let mut gone = self.gone.get();
        self.by_name.borrow_mut().retain(|name, count| {
            let is_known = known.contains(name);
            if !is_known {
                gone = gone.and(*count);
            }
            is_known
        });
        self.gone.set(gone);
    }

    /// Counts a request.
    pub fn requested(&self, organisation: &id::Organisation) {
        self.change(organisation, |count| count.requests += 1);
    }

    /// Counts a request beyond the organisation's quota.
    pub fn over_quota(&self, organisation: &id::Organisation) {
        self.change(organisation, |count| count.over_quota += 1);
    }

    fn change(&self, organisation: &id::Organisation, change: impl FnOnce(&mut Count)) {
        let mut by_name = self.by_name.borrow_mut();
        match by_name.get_mut(organisation) {
            Some(count) => change(count),
            None => change(by_name.entry(organisation.clone()).or_default()),
        }
    }

    /// Writes the counts of the largest organisations, and of the others together.
    pub fn write(&self, text: &mut String) {
        let by_name = self.by_name.borrow();
        let mut counts: Vec<_> =
            by_name.iter().map(|(name, count)| (name.as_str(), *count)).collect();
        if counts.is_empty() && self.gone.get() == Count::default() {
            return;
        }
        counts.sort_by_key(|(name, count)| (cmp::Reverse(*count), *name));
        let others = counts.split_off(counts.len().min(SHOWN));
        let others = others.into_iter().map(|(_, count)| count).fold(self.gone.get(), Count::and);
        counts.push((OTHERS, others));
        write_series(text, "organisation_requests", &counts, |count| count.requests);
        write_series(text, "organisation_over_quota", &counts, |count| count.over_quota);
    }
}

impl Count {
    fn and(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            over_quota: self.over_quota + other.over_quota,
        }
    }
}

// Writing to a string cannot fail, so the results below are ignored.

fn write_series(
    text: &mut String,
    series: &str,
    counts: &[(&str, Count)],
    of: impl Fn(&Count) -> u64,
) {
    let _ = writeln!(text, "# TYPE yokespoke_{series}_total counter");
    for (name, count) in counts {
        let name = name.replace('\\', "\\\\").replace('"', "\\\"");
        let _ = writeln!(text, "yokespoke_{series}_total{{organisation=\"{name}\"}} {}", of(count));
    }
}
