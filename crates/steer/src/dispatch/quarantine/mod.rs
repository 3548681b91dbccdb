//! Quarantine: holds back requests that crash the upstreams that run them, at all nodes.
//!
//! A request is identified by its [`fingerprint`], regardless of its request ID. Each node records
//! which requests were in flight at an upstream that crashed ([`sighting`], [`record`]) and reports
//! them to the other nodes ([`report`]). Once the [`evidence`] shows that a request causes crashes,
//! it is held back ([`ruling`]): every node refuses it immediately and repeats the ruling to other
//! nodes, which reaches nodes that start later or were partitioned. A request that runs to its end
//! is cleared.
//!
//! The gateway calls this module for requests that may be affected, after each attempt, and with
//! the reports of other nodes.

pub mod evidence;
pub mod record;
pub mod report;
pub mod ruling;
pub mod sighting;
pub mod significance;

use std::fmt;
use std::time::{Duration, Instant};

use model::fingerprint::{self, Fingerprint, Scope};

use crate::dispatch::quarantine::record::Record;
use crate::dispatch::quarantine::report::{Outbox, Report, Source};
use crate::dispatch::quarantine::ruling::{Ruling, Rulings};
use crate::dispatch::quarantine::sighting::{Sighting, Start};

/// Delay between a crash and its evaluation, in which other nodes report which other requests were
/// in flight.
const REPORT_DELAY: Duration = Duration::from_millis(150);

/// Number of crashes from which a request is sent to other upstreams than the rest of its object,
/// so that crashes can be attributed to one of them.
const ISOLATION_CRASHES: usize = 2;

/// Maximum number of rulings per report that repeats rulings.
const MAX_REPEATED: usize = 32;

/// The reason why a request is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The requests that are held back.
    pub scope: Scope,
    /// The ruling in force.
    pub ruling: Ruling,
    /// Time since the ruling was made.
    pub held: Duration,
    /// Time after which the request may be retried.
    pub retry_after: Duration,
}

impl fmt::Display for Hold {
    /// Writes the inputs of the decision in the format of the log key `inputs`.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { scope, ruling, held, .. } = self;
        let (crashes, held) = (ruling.crashes, held.as_millis());
        write!(formatter, "fingerprint={scope} crashes={crashes} held_ms={held}")
    }
}

/// A change of which requests are held back, decided by this node or applied from a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The requests that the decision applies to.
    pub scope: Scope,
    /// The ruling that was made.
    pub ruling: Ruling,
    /// The crashes that led to the decision.
    pub starts: Vec<Start>,
}

/// The recorded crashes and the rulings known to this node.
#[derive(Clone, Debug)]
pub struct Quarantine {
    record: Record,
    rulings: Rulings,
    outbox: Outbox,
    /// When the record is evaluated next.
    due: Option<Instant>,
    /// When the latest sighting was recorded.
    latest: Instant,
}

impl Quarantine {
    /// Creates an empty quarantine.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            record: Record::default(),
            rulings: Rulings::default(),
            outbox: Outbox::new(now),
            due: None,
            latest: now,
        }
    }

    /// Returns whether a request with this head may be affected, so that its full fingerprint is
    /// needed.
    #[must_use]
    pub fn concerns(&self, head: impl FnOnce() -> fingerprint::Head) -> bool {
        if self.record.is_empty() && self.rulings.is_empty() {
            return false;
        }
        let head = head();
        self.record.contains_head(head) || self.rulings.contains_head(head)
    }

    /// Returns why a request that arrived at `now` is held back, or `None` if it is not.
    pub fn check(&mut self, request: &Fingerprint, now: Instant) -> Option<Hold> {
        let (scope, ruling) = self.rulings.in_force_for(request, now)?;
        self.rulings.record_request(&scope, now);
        let retry_after = self.rulings.get(&scope)?.remaining(now)?;
        let held = now.saturating_duration_since(ruling.since);
        Some(Hold { scope, ruling, held, retry_after })
    }

    /// Returns whether a request is to be sent to other upstreams than the rest of its object.
    #[must_use]
    pub fn is_isolated(&self, request: &Fingerprint) -> bool {
        self.record.crash_count(&Scope::from(*request)) >= ISOLATION_CRASHES
    }

    /// Records a request that was in flight at an upstream when it crashed. Returns the decision if
    /// an expired ruling is reinstated.
    pub fn record_crash(
        &mut self,
        sighting: Sighting,
        source: Source,
        unix_millis: u64,
        now: Instant,
    ) -> Option<Decision> {
        if !self.record.add(&sighting) {
            return None;
        }
        let report = Report { sightings: vec![sighting], ..Report::default() };
        self.outbox.add(&report, source);
        self.latest = now;
        // Not postponed by each crash, or frequent crashes would postpone the evaluation
        // indefinitely.
        self.due = self.due.or(Some(now + REPORT_DELAY));
        let reinstated = self.rulings.reinstate(&sighting.fingerprint, unix_millis, now);
        let (scope, ruling) = reinstated?;
        self.report(scope, ruling, Source::Own);
        Some(Decision { scope, ruling, starts: vec![sighting.crash.start] })
    }

    /// Records that a request ran to its end. Returns the decision if that releases the request.
    pub fn record_success(
        &mut self,
        request: &Fingerprint,
        source: Source,
        unix_millis: u64,
        now: Instant,
    ) -> Option<Decision> {
        if self.record.clear(request, now) {
            let report = Report { cleared: vec![*request], ..Report::default() };
            self.outbox.add(&report, source);
        }
        let (scope, _) = self.rulings.in_force_for(request, now)?;
        Some(self.release(scope, unix_millis, now))
    }

    /// Releases the requests of `scope` and removes their recorded crashes.
    pub fn release(&mut self, scope: Scope, unix_millis: u64, now: Instant) -> Decision {
        self.record.remove(&scope);
        let ruling = self.rulings.decide(scope, false, 0, unix_millis, now);
        self.report(scope, ruling, Source::Own);
        Decision { scope, ruling, starts: Vec::new() }
    }

    /// Applies a ruling of another node or of the store. Returns it if it changes which requests
    /// are held back.
    pub fn apply_ruling(
        &mut self,
        scope: Scope,
        ruling: Ruling,
        source: Source,
        now: Instant,
    ) -> Option<Decision> {
        if !self.rulings.merge(scope, ruling, now) {
            return None;
        }
        if !ruling.is_held {
            self.record.remove(&scope);
        }
        self.report(scope, ruling, source);
        Some(Decision { scope, ruling, starts: Vec::new() })
    }

    /// Returns when the record is to be evaluated next.
    #[must_use]
    pub fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Evaluates the recorded crashes if the evaluation is due. Returns the requests that are held
    /// back from now on.
    pub fn evaluate(&mut self, unix_millis: u64, now: Instant) -> Vec<Decision> {
        if self.due.is_none_or(|due| now < due) {
            return Vec::new();
        }
        let reported_until = now.checked_sub(REPORT_DELAY).unwrap_or(now);
        self.due = (self.latest > reported_until).then(|| self.latest + REPORT_DELAY);
        let causes = self.crash_causes(reported_until, now);
        let decide = |(scope, starts): (Scope, Vec<Start>)| {
            let crashes = u32::try_from(starts.len()).unwrap_or(u32::MAX);
            let ruling = self.rulings.decide(scope, true, crashes, unix_millis, now);
            self.report(scope, ruling, Source::Own);
            Decision { scope, ruling, starts }
        };
        causes.into_iter().map(decide).collect()
    }

    /// Returns the scopes that are not held back yet and whose requests cause crashes, with the
    /// crashes.
    fn crash_causes(&self, reported_until: Instant, now: Instant) -> Vec<(Scope, Vec<Start>)> {
        let is_held = |request: &Fingerprint| self.rulings.in_force_for(request, now).is_some();
        let scopes = self.record.contents().flat_map(|content| self.candidate_scopes(content));
        let not_held = scopes.filter(|scope| {
            let is_held = |scope: &Scope| {
                self.rulings.get(scope).is_some_and(|ruling| ruling.remaining(now).is_some())
            };
            !is_held(scope) && !is_held(&Scope { caller: None, ..*scope })
        });
        not_held
            .filter_map(|scope| {
                let starts =
                    evidence::crashes_caused_by(&scope, &self.record, reported_until, is_held)?;
                Some((scope, starts))
            })
            .collect()
    }

    /// Returns the scopes by which requests with `content` are evaluated: each caller, and all
    /// callers if requests of several callers were in flight at crashes.
    fn candidate_scopes(&self, content: fingerprint::Content) -> Vec<Scope> {
        let callers = self.record.callers(content);
        let all = (callers.len() > 1).then_some(Scope { content, caller: None });
        let each = callers.into_iter().map(|caller| Scope { content, caller: Some(caller) });
        each.chain(all).collect()
    }

    /// Returns whether reports are pending.
    #[must_use]
    pub fn has_report(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Takes the reports for the nodes of this region and for the representatives of other regions.
    pub fn take_reports(&mut self, now: Instant) -> (Report, Report) {
        let record = &self.record;
        self.outbox.take(now, |sighting| record.crash_count(&Scope::from(sighting.fingerprint)))
    }

    /// Returns rulings to repeat to a node that may not know them; each `turn` returns the next
    /// page.
    #[must_use]
    pub fn repeat(&self, turn: usize, now: Instant) -> Report {
        let is_relevant = |r: &Ruling| r.remaining(now).is_some() || !r.is_held;
        let rulings: Vec<(Scope, Ruling)> =
            self.rulings.iter().filter(|(_, r)| is_relevant(r)).map(|(s, r)| (*s, *r)).collect();
        let pages = rulings.len().div_ceil(MAX_REPEATED).max(1);
        let page = rulings.into_iter().skip(turn % pages * MAX_REPEATED).take(MAX_REPEATED);
        Report { rulings: page.collect(), ..Report::default() }
    }

    /// Removes expired sightings and rulings.
    pub fn tick(&mut self, now: Instant) {
        self.record.expire(now);
        self.rulings.expire(now);
    }

    /// Returns all rulings, whether or not they are in force.
    pub fn rulings(&self) -> impl Iterator<Item = (&Scope, &Ruling)> {
        self.rulings.iter()
    }

    /// Returns the ruling on the requests of `scope`.
    #[must_use]
    pub fn ruling(&self, scope: &Scope) -> Option<&Ruling> {
        self.rulings.get(scope)
    }

    /// Returns the rulings in force, for the state dump and the metrics.
    pub fn held(&self, now: Instant) -> impl Iterator<Item = (&Scope, &Ruling)> {
        self.rulings.in_force(now)
    }

    fn report(&mut self, scope: Scope, ruling: Ruling, source: Source) {
        let report = Report { rulings: vec![(scope, ruling)], ..Report::default() };
        self.outbox.add(&report, source);
    }
}
