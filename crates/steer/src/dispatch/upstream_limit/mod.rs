//! Limits that upstreams name in their answers: the requests a second that each takes from all nodes together.
//!
//! Owns what is known of them ([`observation`]) and reported to other nodes ([`announcement`]), and the fleet's account of each upstream that names
//! one. The accounts are those of [`quota`]: each node keeps a bucket of the whole fleet, and all admit the same part of what
//! would go to the upstream, so its limit is used wherever its requests come from. A limit is neither a fault nor a full queue:
//! an upstream is chosen as if it had none, and skipped where its account admits no more. Reads no clock; the present is
//! passed in.

pub mod announcement;
pub mod demand;
pub mod observation;

use std::collections;
use std::time::{Duration, Instant};

use model::id;
use model::limit;
use model::organisation;

use crate::dispatch::peer_load;
use crate::dispatch::priority;
use crate::dispatch::quota::{self, account, report_timing, usage};

/// Least rate of an account, in requests a second, so that an upstream that takes none is tried now and then: only an answer
/// says that a limit has ended.
const LEAST_RATE: f64 = 0.25;

/// What an account holds, as the time in which its rate fills it: what came too late to be used is sent soon after.
const BURST: Duration = Duration::from_millis(500);

/// Least that an account holds, in requests; one request alone would often wait for the next one of another node.
const LEAST_BURST: f64 = 3.0;

/// What a node knows of the limits that upstreams name.
#[derive(Clone, Debug)]
pub struct Limits {
    node: id::Node,
    observations: observation::Observations,
    announcer: announcement::Announcer,
    /// Accounts of the upstreams that name limits; none before the first one does.
    accounts: Option<quota::Quotas>,
    demands: collections::HashMap<peer_load::Key, demand::Demand>,
    others: usize,
    is_store_known: bool,
}

/// What a node, or the sum of several, reports of limits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// What upstreams name.
    pub announcements: Vec<announcement::Announcement>,
    /// What is sent to those that name limits.
    pub usages: Vec<usage::Usage>,
}

/// What was forwarded of the reports of some nodes.
#[derive(Clone, Debug, Default)]
pub struct Forwarder {
    announcer: announcement::Announcer,
    usages: quota::forwarder::Forwarder,
}

/// The limit of an upstream that a report changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Changed {
    /// The upstream.
    pub upstream: peer_load::Key,
    /// How its limit changed.
    pub change: observation::Change,
}

impl Limits {
    /// Makes the limits of a node that knows of none.
    #[must_use]
    pub fn new(node: id::Node) -> Self {
        Self {
            node,
            observations: observation::Observations::default(),
            announcer: announcement::Announcer::default(),
            accounts: None,
            demands: collections::HashMap::new(),
            others: 0,
            is_store_known: true,
        }
    }

    /// Sets how many other nodes are known or listed, and whether this node, or one that it reaches, reaches the store.
    pub fn set_contact(&mut self, others: usize, is_store_known: bool) {
        (self.others, self.is_store_known) = (others, is_store_known);
        if let Some(accounts) = &mut self.accounts {
            accounts.set_others(others);
            accounts.set_store_known(is_store_known);
        }
    }

    /// Records what an answer says; returns how the limit changed, if it did.
    pub fn observe(
        &mut self,
        upstream: peer_load::Key,
        field: limit::Field,
        now: Instant,
    ) -> Option<observation::Change> {
        let limit = match field {
            limit::Field::Limit(rate) => Some(rate),
            limit::Field::Absent => None,
            limit::Field::Malformed => return None,
        };
        let change = self.observations.record(upstream, limit, now, None)?;
        self.apply(upstream, change.now, now);
        Some(change)
    }

    /// Records what another node, or a sum of several, reported; returns the limits that changed.
    pub fn receive(&mut self, node: &id::Node, report: &Report, now: Instant) -> Vec<Changed> {
        let mut changed = Vec::new();
        for announcement in &report.announcements {
            let at = now.checked_sub(announcement.age).unwrap_or(now);
            let change =
                self.observations.record(announcement.upstream, announcement.limit, at, Some(node));
            if let Some(change) = change {
                self.apply(announcement.upstream, change.now, now);
                changed.push(Changed { upstream: announcement.upstream, change });
            }
        }
        if let Some(accounts) = &mut self.accounts {
            accounts.receive(node, &report.usages, now);
        }
        changed
    }

    /// Counts a request, by which nodes work out their parts of the limits.
    pub fn count(&mut self, now: Instant) {
        if let Some(accounts) = &mut self.accounts {
            accounts.count_request(now);
        }
    }

    /// Takes a request that would go to an upstream.
    ///
    /// # Errors
    ///
    /// Returns the time after which there is room when its limit is used up.
    pub fn admit(
        &mut self,
        upstream: peer_load::Key,
        rank: priority::Rank,
        now: Instant,
    ) -> Result<(), Duration> {
        let Some(accounts) = self.accounts.as_mut().filter(|accounts| accounts.has_limits()) else {
            return Ok(());
        };
        let key = account_key(upstream);
        if accounts.account(key).is_none() {
            return Ok(());
        }
        let demand = self.demands.entry(upstream).or_insert_with(|| demand::Demand::new(now));
        demand.record(rank, now);
        accounts.take(key, |part| demand.part(part, rank, now), now).map(|_| ())
    }

    /// Returns what this node has to report now.
    pub fn report(&mut self, now: Instant) -> Report {
        let own = self.observations.iter().filter(|(_, word)| word.by.is_none());
        let announcements = self.announcer.due(own, now);
        let usages = self.accounts.as_mut().map(|accounts| accounts.report(now));
        Report { announcements, usages: usages.unwrap_or_default() }
    }

    /// Returns what the `wanted` nodes reported together, as far as `forwarder` has not forwarded it yet.
    pub fn report_sum(
        &mut self,
        wanted: impl Fn(&id::Node) -> bool,
        forwarder: &mut Forwarder,
        now: Instant,
    ) -> Report {
        let of_wanted =
            self.observations.iter().filter(|(_, word)| word.by.as_ref().is_some_and(&wanted));
        let announcements = forwarder.announcer.due(of_wanted, now);
        let sum =
            |accounts: &mut quota::Quotas| accounts.report_sum(wanted, &mut forwarder.usages, now);
        Report { announcements, usages: self.accounts.as_mut().map(sum).unwrap_or_default() }
    }

    /// Returns the latest observation of an upstream's limit.
    #[must_use]
    pub fn observation(&self, upstream: peer_load::Key) -> Option<&observation::Observation> {
        self.observations.get(upstream)
    }

    /// Returns the account of an upstream that names a limit.
    #[must_use]
    pub fn account(&self, upstream: peer_load::Key) -> Option<&account::Account> {
        self.accounts.as_ref()?.account(account_key(upstream))
    }

    /// Returns how many upstreams name a limit.
    #[must_use]
    pub fn count_named(&self) -> usize {
        self.observations.count()
    }

    /// Forgets the limit of an upstream that started again.
    pub fn forget(&mut self, upstream: peer_load::Key, now: Instant) {
        self.observations.end(upstream, now);
        self.apply(upstream, None, now);
    }

    /// Drops what no longer matters.
    pub fn tick(&mut self, is_known: impl Fn(peer_load::Key) -> bool, now: Instant) {
        for upstream in self.observations.expire(is_known, now) {
            self.apply(upstream, None, now);
        }
        let observations = &self.observations;
        self.announcer.retain(|upstream| observations.get(upstream).is_some());
        if let Some(accounts) = &mut self.accounts {
            // One usage more is that of all requests together.
            let timing = report_timing::ReportTiming::without_extrapolation(
                self.observations.count() + 1,
                self.others,
            );
            accounts.set_timing(timing);
            accounts.tick(now);
        }
    }

    /// Puts a limit into force, or ends it.
    fn apply(&mut self, upstream: peer_load::Key, limit: Option<limit::Rate>, now: Instant) {
        let key = account_key(upstream);
        let Some(rate) = limit else {
            self.demands.remove(&upstream);
            if let Some(accounts) = &mut self.accounts {
                accounts.remove_limit(key);
            }
            return;
        };
        let rate = rate.per_second().max(LEAST_RATE);
        let burst = (rate * BURST.as_secs_f64()).max(LEAST_BURST);
        let quota = organisation::Quota { rate, burst };
        let accounts = self.accounts.get_or_insert_with(|| {
            let mut accounts = quota::Quotas::new(&self.node, 0.0, now);
            accounts.set_others(self.others);
            accounts.set_store_known(self.is_store_known);
            accounts
        });
        accounts.set_limit(key, "", quota, now);
    }
}

/// Returns under which key the account of an upstream stands; 0 is that of all together.
fn account_key(upstream: peer_load::Key) -> usage::Key {
    usage::Key(upstream.0.max(1))
}
