//! Rate limits that upstreams announce in their responses: the requests per second that an upstream
//! accepts from all nodes together.
//!
//! [`observation`] keeps the announced limits, [`announcement`] reports them to other nodes, and
//! each upstream with a limit has an account. The accounts are those of [`quota`]: each node keeps
//! a token bucket of the whole fleet, and all nodes admit the same ratio of the requests for the
//! upstream, so the upstream's limit is used wherever the requests come from. A limit is neither a
//! fault nor a full queue: an upstream is selected as if it had no limit, and skipped if its
//! account admits no more requests. Reads no clock; the current time is passed in.

pub mod announcement;
pub mod observation;
pub mod urgency_mix;

use std::collections;
use std::time::{Duration, Instant};

use model::id;
use model::limit;
use model::organisation;

use crate::dispatch::peer_load;
use crate::dispatch::priority;
use crate::dispatch::quota::{self, account, report_timing, usage};

/// Lowest rate of an account, in requests per second. An upstream that accepts no requests is still
/// tried now and then, since only a response shows that the limit has ended.
const MIN_RATE: f64 = 0.25;

/// Burst of an account, as the time in which the account's rate refills the burst, so that tokens
/// that were not used in time can be used soon after.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Smallest burst of an account, in requests. With a burst of one, a request would often have to
/// wait after a request at another node.
const MIN_BURST: f64 = 3.0;

/// Limits that upstreams announced, as one node knows them.
#[derive(Clone, Debug)]
pub struct Limits {
    node: id::Node,
    observations: observation::Observations,
    announcer: announcement::Announcer,
    /// Accounts of the upstreams with limits; `None` until the first limit is announced.
    accounts: Option<quota::Quotas>,
    urgency_mixes: collections::HashMap<peer_load::Key, urgency_mix::UrgencyMix>,
    others: usize,
    is_store_known: bool,
}

/// Report about limits from one node, or summed over several.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Limits that upstreams announced.
    pub announcements: Vec<announcement::Announcement>,
    /// Requests for the upstreams with limits.
    pub usages: Vec<usage::Usage>,
}

/// Forwards the summed reports of one group of nodes.
#[derive(Clone, Debug, Default)]
pub struct Forwarder {
    announcer: announcement::Announcer,
    usages: quota::forwarder::Forwarder,
}

/// Change of an upstream's limit that a report caused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangedLimit {
    /// The upstream.
    pub upstream: peer_load::Key,
    /// How its limit changed.
    pub change: observation::Change,
}

impl Limits {
    /// Creates an empty set of limits for `node`.
    #[must_use]
    pub fn new(node: id::Node) -> Self {
        Self {
            node,
            observations: observation::Observations::default(),
            announcer: announcement::Announcer::default(),
            accounts: None,
            urgency_mixes: collections::HashMap::new(),
            others: 0,
            is_store_known: true,
        }
    }

    /// Sets how many other nodes are known or listed, and whether this node reaches the store,
    /// itself or through another node.
    pub fn set_contact(&mut self, others: usize, is_store_known: bool) {
        (self.others, self.is_store_known) = (others, is_store_known);
        if let Some(accounts) = &mut self.accounts {
            accounts.set_others(others);
            accounts.set_store_known(is_store_known);
        }
    }

    /// Records the limit in a response; returns the change if the limit changed.
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

    /// Records a report from another node, or summed over several; returns the limits that changed.
    pub fn receive(&mut self, node: &id::Node, report: &Report, now: Instant) -> Vec<ChangedLimit> {
        let mut changed = Vec::new();
        for announcement in &report.announcements {
            let at = now.checked_sub(announcement.age).unwrap_or(now);
            let change =
                self.observations.record(announcement.upstream, announcement.limit, at, Some(node));
            if let Some(change) = change {
                self.apply(announcement.upstream, change.now, now);
                changed.push(ChangedLimit { upstream: announcement.upstream, change });
            }
        }
        if let Some(accounts) = &mut self.accounts {
            accounts.receive(node, &report.usages, now);
        }
        changed
    }

    /// Counts a request in the demand from which nodes derive their shares of the limits.
    pub fn count(&mut self, now: Instant) {
        if let Some(accounts) = &mut self.accounts {
            accounts.count_request(now);
        }
    }

    /// Admits a request for an upstream.
    ///
    /// # Errors
    ///
    /// Returns the time to wait before a retry if the upstream's limit is used up.
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
        let new = || urgency_mix::UrgencyMix::new(now);
        let mix = self.urgency_mixes.entry(upstream).or_insert_with(new);
        mix.record(rank, now);
        accounts.try_admit(key, |ratio| mix.admission_ratio(ratio, rank, now), now).map(|_| ())
    }

    /// Returns what this node is due to report.
    pub fn report(&mut self, now: Instant) -> Report {
        let own = self.observations.iter().filter(|(_, observation)| observation.by.is_none());
        let announcements = self.announcer.due(own, now);
        let usages = self.accounts.as_mut().map(|accounts| accounts.report(now));
        Report { announcements, usages: usages.unwrap_or_default() }
    }

    /// Returns the summed report of the nodes selected by `is_included` that `forwarder` is due to
    /// forward.
    pub fn report_sum(
        &mut self,
        is_included: impl Fn(&id::Node) -> bool,
        forwarder: &mut Forwarder,
        now: Instant,
    ) -> Report {
        let included =
            self.observations.iter().filter(|(_, o)| o.by.as_ref().is_some_and(&is_included));
        let announcements = forwarder.announcer.due(included, now);
        let sum = |accounts: &mut quota::Quotas| {
            accounts.report_sum(is_included, &mut forwarder.usages, now)
        };
        Report { announcements, usages: self.accounts.as_mut().map(sum).unwrap_or_default() }
    }

    /// Returns the latest observation of an upstream's limit, if any.
    #[must_use]
    pub fn observation(&self, upstream: peer_load::Key) -> Option<&observation::Observation> {
        self.observations.get(upstream)
    }

    /// Returns the account of an upstream, or `None` if it has no limit.
    #[must_use]
    pub fn account(&self, upstream: peer_load::Key) -> Option<&account::Account> {
        self.accounts.as_ref()?.account(account_key(upstream))
    }

    /// Returns how many upstreams have a limit.
    #[must_use]
    pub fn count_named(&self) -> usize {
        self.observations.count()
    }

    /// Removes the limit of an upstream that restarted.
    pub fn forget(&mut self, upstream: peer_load::Key, now: Instant) {
        self.observations.clear(upstream, now);
        self.apply(upstream, None, now);
    }

    /// Removes limits that have expired, and updates the accounts.
    pub fn tick(&mut self, is_known: impl Fn(peer_load::Key) -> bool, now: Instant) {
        for upstream in self.observations.expire(is_known, now) {
            self.apply(upstream, None, now);
        }
        let observations = &self.observations;
        self.announcer.retain(|upstream| observations.get(upstream).is_some());
        if let Some(accounts) = &mut self.accounts {
            // One more usage holds the total of all requests.
            let timing = report_timing::ReportTiming::without_extrapolation(
                self.observations.count() + 1,
                self.others,
            );
            accounts.set_timing(timing);
            accounts.tick(now);
        }
    }

    /// Sets or removes the limit of an upstream.
    fn apply(&mut self, upstream: peer_load::Key, limit: Option<limit::Rate>, now: Instant) {
        let key = account_key(upstream);
        let Some(rate) = limit else {
            self.urgency_mixes.remove(&upstream);
            if let Some(accounts) = &mut self.accounts {
                accounts.remove_limit(key);
            }
            return;
        };
        let rate = rate.per_second().max(MIN_RATE);
        let burst = (rate * BURST_TIME.as_secs_f64()).max(MIN_BURST);
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

/// Returns the key of an upstream's account; 0 is reserved for the total of all upstreams.
fn account_key(upstream: peer_load::Key) -> usage::Key {
    usage::Key(upstream.0.max(1))
}
