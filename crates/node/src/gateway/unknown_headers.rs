//! Headers of answers that bear the mark of a deployment's own and that are not read, by name.
//!
//! Owns their counts. A partner that begins to say something new is seen by the first answer that says it.

use std::cell;
use std::collections;
use std::fmt::Write as _;

/// Names that are counted at most, so that answers cannot fill the memory.
const MOST_NAMES: usize = 32;

/// Longest name that is counted, in bytes.
const LONGEST_NAME: usize = 64;

/// Headers that are not read, by name.
#[derive(Debug, Default)]
pub struct Counts(cell::RefCell<collections::BTreeMap<String, u64>>);

impl Counts {
    /// Counts a header of an answer `from` a partner; the first one of its name is logged.
    pub fn record(&self, name: &str, from: &str) {
        let mut counts = self.0.borrow_mut();
        if let Some(count) = counts.get_mut(name) {
            *count += 1;
        } else if counts.len() < MOST_NAMES && name.len() <= LONGEST_NAME {
            counts.insert(name.to_owned(), 1);
            log::warn!(header = name, from; "header-unknown");
        }
    }

    /// Writes the counts as metrics.
    pub fn write(&self, text: &mut String) {
        // Writing to a string cannot fail, so the results are ignored.
        let _ = writeln!(text, "# TYPE yokespoke_unknown_headers_total counter");
        for (name, count) in self.0.borrow().iter() {
            let _ = writeln!(text, "yokespoke_unknown_headers_total{{header=\"{name}\"}} {count}");
        }
    }
}
