//! Collects the problems of a configuration, so that an operator sees all of them at once.

use crate::refusal;

/// Message for an invalid name.
pub(super) const NAME_RULE: &str = "expected 1 to 63 letters, digits, `-`, `_` or `.`";

/// The problems found so far.
#[derive(Debug, Default)]
pub(super) struct Findings {
    /// Problems in the order in which they were found.
    pub(super) problems: Vec<refusal::Problem>,
}

impl Findings {
    /// Adds a problem with a field of a resource.
    pub(super) fn add(&mut self, resource: &str, field: &str, message: String) {
        self.problems.push(refusal::Problem {
            resource: resource.to_owned(),
            field: field.to_owned(),
            message,
        });
    }

    /// Adds a problem unless `is_valid`.
    pub(super) fn expect(&mut self, is_valid: bool, resource: &str, field: &str, message: &str) {
        if !is_valid {
            self.add(resource, field, message.to_owned());
        }
    }
}
