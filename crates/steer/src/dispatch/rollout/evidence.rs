//! Evidence: whether the answers of a new version show that it is bad.
//!
//! A new version is compared with the old ones on the same route in the same stage, so that a failure of the whole
//! service does not count against it. Counts are cumulative within a stage, and a report replaces the previous one of
//! its node, so the loss of a report is harmless.

use std::collections;

use model::id;
use xxhash_rust::xxh3;

/// Failed or slow answers below which a version is not judged.
const MIN_BAD: u32 = 9;

/// Share of failures that is accepted of any version.
const ACCEPTED_FAILURES: f64 = 0.02;

/// Share of slow answers that is accepted of any version.
///
/// A good version has slow answers too: its caches are empty, and its upstreams queue requests when its share is
/// raised.
const ACCEPTED_SLOW: f64 = 0.15;

/// How many times the share of the old versions is accepted.
const ACCEPTED_FACTOR: f64 = 2.0;

/// Difference to the share of the old versions that is accepted at most.
const ACCEPTED_DIFFERENCE: f64 = 0.1;

/// Share of bad answers that is accepted of any version where the old ones give no answers any more.
///
/// A failure of the whole service then affects the new version only.
const ACCEPTED_ALONE: f64 = 0.3;

/// Standard deviations by which bad answers have to exceed what is accepted.
const DEVIATIONS: f64 = 6.0;

/// Processing time from which an answer counts as slow, as a multiple of the expected one.
pub const SLOW_FACTOR: f64 = 3.0;

/// Key of a route in reports: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Route(pub u32);

impl Route {
    /// Returns the key of a route.
    #[must_use]
    pub fn of(route: &id::Route) -> Self {
        #[expect(clippy::cast_possible_truncation, reason = "any 32 bits of the hash will do")]
        let hash = xxh3::xxh3_64(route.as_str().as_bytes()) as u32;
        Self(hash)
    }
}

/// Quality of one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quality {
    /// A success in the usual time.
    Good,
    /// A success that took several times as long as usual.
    Slow,
    /// A failure.
    Failed,
}

/// Answers of some upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// All answers.
    pub answers: u32,
    /// Failures among them.
    pub failed: u32,
    /// Slow ones among them.
    pub slow: u32,
}

impl Tally {
    fn add(&mut self, other: Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.failed = self.failed.saturating_add(other.failed);
        self.slow = self.slow.saturating_add(other.slow);
    }
}

/// Answers of the new version and of the old ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Of the version that is rolled out.
    pub new: Tally,
    /// Of all others.
    pub old: Tally,
}

impl Counts {
    fn add(&mut self, other: Self) {
        self.new.add(other.new);
        self.old.add(other.old);
    }

    /// Returns whether the new version is bad; `with` says with what it is compared.
    #[must_use]
    pub fn is_bad(&self, with: Comparison) -> bool {
        let Self { new, old } = *self;
        let of = |bad, tally: Tally| Part { bad, answers: tally.answers };
        is_worse(of(new.failed, new), with.accepted(of(old.failed, old), ACCEPTED_FAILURES))
            || is_worse(of(new.slow, new), with.accepted(of(old.slow, old), ACCEPTED_SLOW))
    }
}

/// What the answers of a new version are compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// Answers of the old versions at the same time.
    OldVersions,
    /// Nothing, since all requests go to the new version.
    Alone,
}

impl Comparison {
    /// Returns the accepted share of bad answers of one kind; `any` is accepted of any version.
    fn accepted(self, old: Part, any: f64) -> f64 {
        let share = f64::from(old.bad + 1) / f64::from(old.answers + 1);
        match self {
            Self::Alone => ACCEPTED_ALONE,
            Self::OldVersions => {
                let more = (share * ACCEPTED_FACTOR).min(share + ACCEPTED_DIFFERENCE);
                more.clamp(any, 1.0)
            }
        }
    }
}

/// Bad answers of one kind among all.
#[derive(Clone, Copy, Debug)]
struct Part {
    bad: u32,
    answers: u32,
}

/// Returns whether there are significantly more bad answers than the `accepted` share.
fn is_worse(new: Part, accepted: f64) -> bool {
    let expected = f64::from(new.answers) * accepted;
    new.bad >= MIN_BAD && f64::from(new.bad) > expected + DEVIATIONS * expected.sqrt()
}

/// Counts by route.
pub type ByRoute = collections::BTreeMap<Route, Counts>;

/// The answers that this node and others have counted in one stage of a roll-out.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    own: ByRoute,
    peers: collections::BTreeMap<id::Node, ByRoute>,
}

impl Answers {
    /// Counts an answer that this node got.
    pub fn record(&mut self, route: Route, is_new: bool, quality: Quality) {
        let counts = self.own.entry(route).or_default();
        let tally = if is_new { &mut counts.new } else { &mut counts.old };
        tally.add(Tally {
            answers: 1,
            failed: u32::from(quality == Quality::Failed),
            slow: u32::from(quality == Quality::Slow),
        });
    }

    /// Replaces the counts of another node, or of several together.
    pub fn receive(&mut self, node: &id::Node, counts: ByRoute) {
        self.peers.insert(node.clone(), counts);
    }

    /// Forgets all counts.
    pub fn clear(&mut self) {
        self.own.clear();
        self.peers.clear();
    }

    /// Returns this node's counts.
    #[must_use]
    pub fn own(&self) -> ByRoute {
        self.own.clone()
    }

    /// Returns the sum of the counts of the other nodes that `wanted` selects.
    #[must_use]
    pub fn sum(&self, wanted: impl Fn(&id::Node) -> bool) -> ByRoute {
        let selected = self.peers.iter().filter(|(node, _)| wanted(node));
        add_up(selected.map(|(_, counts)| counts))
    }

    /// Returns the counts of all nodes over all routes.
    #[must_use]
    pub fn total(&self) -> Counts {
        let mut total = Counts::default();
        self.all().into_values().for_each(|counts| total.add(counts));
        total
    }

    /// Returns whether the new version is bad on any route, or over all of them.
    #[must_use]
    pub fn is_bad(&self, with: Comparison) -> bool {
        self.total().is_bad(with) || self.all().values().any(|counts| counts.is_bad(with))
    }

    fn all(&self) -> ByRoute {
        add_up(self.peers.values().chain([&self.own]))
    }
}

fn add_up<'a>(counts: impl Iterator<Item = &'a ByRoute>) -> ByRoute {
    let mut sum = ByRoute::new();
    for (route, counts) in counts.flatten() {
        sum.entry(*route).or_default().add(*counts);
    }
    sum
}
