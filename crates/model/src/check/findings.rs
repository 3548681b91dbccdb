//! Problems that a check collects, so that an operator sees all of them at once.

use crate::refusal;

/// Rule for names, as a problem words it.
pub(super) const NAME_RULE: &str = "expected 1 to 63 letters, digits, `-`, `_` or `.`";

/// Problems found so far.
#[derive(Debug, Default)]
pub(super) struct Findings {
    /// The problems, in the order of the checks.
    pub(super) problems: Vec<refusal::Problem>,
}

impl Findings {
    pub(super) fn add(&mut self, resource: &str, field: &str, message: String) {
        self.problems.push(refusal::Problem {
            resource: resource.to_owned(),
            field: field.to_owned(),
            message,
        });
    }

    pub(super) fn expect(&mut self, holds: bool, resource: &str, field: &str, message: &str) {
        if !holds {
            self.add(resource, field, message.to_owned());
        }
    }
}
