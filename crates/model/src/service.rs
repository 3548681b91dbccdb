//! Services: what callers ask for, and how their requests may be treated.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::upstream;

/// Deadline of a request when neither caller nor service sets one. Not measured.
const DEADLINE: Duration = Duration::from_secs(5);

/// Time a request may wait for a slot when its service sets none. Not measured.
const HOLD: Duration = Duration::from_millis(500);

/// A service, as its operator declares it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// The host by which callers ask for it.
    pub host: String,
    /// Greatest time a request may take; a caller may ask for less.
    #[serde(default = "deadline", with = "humantime_serde")]
    pub deadline: Duration,
    /// Greatest time a request may wait for a slot.
    #[serde(default = "hold", with = "humantime_serde")]
    pub hold: Duration,
    /// Requests that may be run again after they may have run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub repeatable: Vec<Pattern>,
    /// Requests that must run at most once, under a ticket.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub once: Vec<Pattern>,
    /// Statuses by which an upstream proves that it did not run a request.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shed: Vec<u16>,
    /// Path of the upstreams' health and load report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report: Option<String>,
    /// Its upstreams.
    pub upstreams: Vec<upstream::Upstream>,
}

impl Service {
    /// Returns how a request may be repeated.
    #[must_use]
    pub fn repetition(&self, method: &str, path: &str) -> Repetition {
        let any = |patterns: &[Pattern]| patterns.iter().any(|p| p.matches(method, path));
        match () {
            () if any(&self.once) => Repetition::Once,
            () if any(&self.repeatable) => Repetition::Free,
            () => Repetition::Proved,
        }
    }
}

/// When a request may be sent a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repetition {
    /// Whenever the retry budget allows.
    Free,
    /// Only when it is proved not to have run.
    Proved,
    /// Only when proved not to have run, and under one ticket.
    Once,
}

/// A method and the start of a path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pattern {
    /// The method, in capitals.
    pub method: String,
    /// How the path starts.
    #[serde(default = "root")]
    pub path: String,
}

impl Pattern {
    fn matches(&self, method: &str, path: &str) -> bool {
        self.method == method && path.starts_with(&self.path)
    }
}

fn deadline() -> Duration {
    DEADLINE
}

fn hold() -> Duration {
    HOLD
}

fn root() -> String {
    "/".to_owned()
}
