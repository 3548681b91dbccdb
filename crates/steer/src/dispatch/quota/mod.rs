//! Fleet-wide rate limits of organisations: decides which requests each node admits, so that the
//! fleet stays within the limits.
//!
//! The limits that [upstreams announce](crate::dispatch::upstream_limit) are enforced in the same
//! way, with accounts of their own.
//!
//! Nodes share no counter. For each organisation, every node keeps a token [`bucket`] of the whole
//! fleet. A node deducts the requests that it admits itself at once, and the requests of other
//! nodes as they are reported with the load reports ([`usage`]); nodes report organisations that
//! are near their limits. All nodes admit the same ratio of their requests, so that the total fits
//! the limit and a debt is repaid within a second, whichever nodes admitted the requests and
//! wherever the callers are by now. An organisation whose total demand stays below its limit is not
//! refused.
//!
//! An isolated node keeps to its [`share`] of the limit, which is its share of all admitted
//! requests, and the other nodes leave that share to it. A node that has just started takes less
//! than an equal share until it receives reports from others.
//!
//! Reads no clock; the current time is passed in.

pub mod account;
pub mod bucket;
pub mod excess;
pub mod forwarder;
pub mod rate;
pub mod reachability;
pub mod report_timing;
pub mod reporter;
pub mod reports;
pub mod share;
pub mod usage;

use std::collections;
use std::time::{Duration, Instant};

use model::id;
use model::organisation;
use model::routing;

use account::Account;
use usage::{Key, Usage};
use xxhash_rust::xxh3;

use crate::dispatch::reservation;

/// Time for which an organisation counts as near its limit after a node found it there.
///
/// Several times [`usage::TIME_CONSTANT`], so that an organisation that stays around its limit is
/// reported continuously.
const NEAR_LIMIT_TIME: Duration = Duration::from_secs(3);

/// Fraction of its share of a limit from which a node reports the organisation as near its limit.
///
/// As long as no node does so, the fleet's demand is below this fraction of the limit.
const NEAR_LIMIT_DEMAND: f64 = 0.75;

/// Excess from which a node reports an organisation as near its limit; a single request is not
/// significant.
const NEAR_LIMIT_EXCESS: f64 = 2.0;

/// Fraction of the configured slack that is added to the buckets; the rest covers requests that
/// nodes learn of late.
const BUCKET_SLACK: f64 = 0.5;

/// Time constant of the demand for an upstream. Each node has few such requests, and with a shorter
/// time constant the peak after each request would be mistaken for a higher rate.
const UPSTREAM_DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(3);

/// Shortest and longest time after which a refused caller may retry. The longest time is the
/// default window in which quotas are counted.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(5));

/// Debt from which promises are not redeemed, as the time that it takes to refill it. Nodes learn of
/// what others redeem with the reports, and many nodes may redeem at once.
const MAX_REDEEM_DEBT: Duration = Duration::from_millis(250);

/// Accounts of all organisations, or upstreams, with a limit.
#[derive(Clone, Debug)]
pub struct Quotas {
    accounts: collections::HashMap<Key, Account>,
    /// Requests of organisations below their limits. Requests of an organisation far above its
    /// limit would enlarge the shares of the nodes that receive them.
    total_demand: rate::Rate,
    reports: reports::Reports,
    /// When this node last found an organisation near its limit.
    near_limit: collections::BTreeMap<Key, Instant>,
    reporter: reporter::Reporter,
    reachability: reachability::Reachability,
    slack: f64,
    seed: u64,
    timing: report_timing::ReportTiming,
    /// Room promised to refused callers; `None` if callers are promised nothing.
    reservations: Option<reservation::Schedule<Key>>,
}

/// A request of an account, with what decides whether it is admitted.
#[derive(Clone, Copy, Debug)]
struct Asked {
    /// Part of the limit that belongs to the reachable nodes, in requests per second.
    limit: f64,
    /// This node's part of it.
    share: f64,
    /// Requests per second that reach this node, with this one.
    own: f64,
    /// The same without this one, which alone counts as one request per second.
    own_before: f64,
    /// Ratio of its requests that the fleet admits.
    ratio: f64,
}

impl Quotas {
    /// Creates the accounts of `node`; `slack` is the number of requests by which an organisation
    /// may exceed its limit over the whole fleet.
    #[must_use]
    pub fn new(node: &id::Node, slack: f64, now: Instant) -> Self {
        Self {
            accounts: collections::HashMap::new(),
            total_demand: rate::Rate::new(usage::TIME_CONSTANT, now),
            reports: reports::Reports::default(),
            near_limit: collections::BTreeMap::new(),
            reporter: reporter::Reporter::default(),
            reachability: reachability::Reachability::default(),
            slack,
            seed: xxh3::xxh3_64(node.as_str().as_bytes()),
            timing: report_timing::ReportTiming::default(),
            reservations: None,
        }
    }

    /// Sets whether refused callers are promised room, at times in multiples of `resolution`; `None`
    /// if they are not.
    pub fn set_reservations(&mut self, resolution: Option<Duration>) {
        self.reservations = resolution.map(reservation::Schedule::new);
    }

    /// Returns the promises to refused callers; `None` if callers are promised nothing.
    #[must_use]
    pub fn reservations(&self) -> Option<&reservation::Schedule<Key>> {
        self.reservations.as_ref()
    }

    /// Returns the counts of promises since the last call.
    pub fn take_reservation_counts(&mut self) -> reservation::Counts {
        self.reservations.as_mut().map(reservation::Schedule::take_counts).unwrap_or_default()
    }

    /// Applies a configuration; an organisation whose limit changes keeps its rates and its bucket.
    pub fn configure(&mut self, routing: &routing::Routing, now: Instant) {
        let mut previous = std::mem::take(&mut self.accounts);
        let organisations = routing.organisations.iter().flat_map(organisation::Index::iter);
        for organisation in organisations {
            let Some(quota) = organisation.quota else { continue };
            let key = Key::for_organisation(&organisation.name);
            let account = match previous.remove(&key) {
                Some(known) => Account { quota, ..known },
                None => {
                    let seed = self.seed ^ u64::from(key.0);
                    let name = organisation.name.to_string();
                    Account::new(name, quota, seed, usage::TIME_CONSTANT, now)
                }
            };
            self.accounts.insert(key, account);
        }
        self.near_limit.retain(|key, _| self.accounts.contains_key(key));
    }

    /// Sets the limit of an upstream with `key`; an existing account keeps its rates and its
    /// bucket.
    pub fn set_limit(&mut self, key: Key, name: &str, quota: organisation::Quota, now: Instant) {
        let seed = self.seed ^ u64::from(key.0);
        let new = || Account::new(name.to_owned(), quota, seed, UPSTREAM_DEMAND_TIME_CONSTANT, now);
        self.accounts.entry(key).or_insert_with(new).quota = quota;
    }

    /// Removes the limit of `key`.
    pub fn remove_limit(&mut self, key: Key) {
        self.accounts.remove(&key);
        self.near_limit.remove(&key);
    }

    /// Returns the account of `key`, or `None` if it has no limit.
    #[must_use]
    pub fn account(&self, key: Key) -> Option<&Account> {
        self.accounts.get(&key)
    }

    /// Returns whether any limit is set.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Sets how many other nodes are known or listed.
    pub fn set_others(&mut self, others: usize) {
        self.reachability.set_others(others);
    }

    /// Sets how often usages are repeated, by this node and by the others.
    pub fn set_timing(&mut self, timing: report_timing::ReportTiming) {
        self.timing = timing;
        self.reports.set_timing(timing);
    }

    /// Sets whether this node reaches the store, itself or through another node; if not, this node
    /// counts as isolated.
    pub fn set_store_known(&mut self, is_known: bool) {
        self.reachability.set_store_reachable(is_known);
    }

    /// Admits a request of an organisation.
    ///
    /// # Errors
    ///
    /// Returns the time to wait before a retry if the organisation is over its limit.
    pub fn admit(&mut self, organisation: &id::Organisation, now: Instant) -> Result<(), Duration> {
        if !self.has_limits() {
            return Ok(());
        }
        if self.try_admit(Key::for_organisation(organisation), std::convert::identity, now)? >= 1.0
        {
            self.count_request(now);
        }
        Ok(())
    }

    /// Counts a request in the demand from which nodes derive their shares of the limits.
    pub fn count_request(&mut self, now: Instant) {
        if self.has_limits() {
            self.total_demand.add(1.0, now);
        }
    }

    /// Admits a request of the account of `key`; returns the admission ratio, which is infinite
    /// without a limit.
    ///
    /// `adjust` converts the admission ratio of all requests into the ratio for requests like this
    /// one.
    ///
    /// # Errors
    ///
    /// Returns the time to wait before a retry if the limit is used up.
    pub fn try_admit(
        &mut self,
        key: Key,
        adjust: impl FnOnce(f64) -> f64,
        now: Instant,
    ) -> Result<f64, Duration> {
        let Some(asked) = self.ask(key, now) else { return Ok(f64::INFINITY) };
        let Some(account) = self.accounts.get_mut(&key) else { return Ok(f64::INFINITY) };
        let ratio = adjust(asked.ratio);
        if !account.bucket.admits(ratio) {
            let (shortest, longest) = RETRY_AFTER_RANGE;
            return Err(account.bucket.time_until_available(asked.limit).clamp(shortest, longest));
        }
        self.record_admitted(key, asked, now);
        Ok(ratio)
    }

    /// Admits a request of an organisation whose callers may be promised room.
    ///
    /// While the organisation is over its limit, a return that comes as told takes the room that was
    /// promised, and other requests get what is left. Every admitted request is deducted from the
    /// bucket, so promises add nothing to the limit.
    ///
    /// # Errors
    ///
    /// Returns the time to wait before a retry if the organisation is over its limit.
    pub fn admit_caller(
        &mut self,
        organisation: &id::Organisation,
        caller: &reservation::Caller,
        now: Instant,
    ) -> Result<(), reservation::Refused> {
        if self.reservations.is_none() {
            let returned = caller.returned();
            let refused = |retry_after| reservation::Refused { retry_after, returned };
            return self.admit(organisation, now).map_err(refused);
        }
        let key = Key::for_organisation(organisation);
        let Some(asked) = self.ask(key, now) else {
            self.count_request(now);
            return Ok(());
        };
        if self.admit_reserved(key, asked, caller, now) {
            self.record_admitted(key, asked, now);
            if asked.ratio >= 1.0 {
                self.count_request(now);
            }
            return Ok(());
        }
        let debt_time = self.accounts.get(&key).map_or(Duration::ZERO, |account| {
            account.bucket.time_until_available(asked.limit).min(RETRY_AFTER_RANGE.1)
        });
        let Some(reservations) = self.reservations.as_mut() else { return Ok(()) };
        let returned = reservations.returned(&key, caller, now);
        let ratio = asked.ratio.max(0.0);
        let promise = reservations.promise(&key, caller, (asked.own_before * ratio, ratio), now);
        let retry_after = match promise.is_kept {
            true => promise.retry_after,
            false => promise.retry_after.max(debt_time),
        };
        Err(reservation::Refused { retry_after, returned })
    }

    /// Returns whether a request is admitted, for a promise or as a newcomer.
    fn admit_reserved(
        &mut self,
        key: Key,
        asked: Asked,
        caller: &reservation::Caller,
        now: Instant,
    ) -> bool {
        let Some(account) = self.accounts.get_mut(&key) else { return true };
        let Some(reservations) = &mut self.reservations else { return true };
        if asked.ratio >= 1.0 {
            return account.bucket.admits(asked.ratio);
        }
        // Without any room, nothing is left that promises could be kept with. A debt shows that more
        // is redeemed over the fleet than the limit has room for.
        let is_in_debt = account.bucket.debt() >= asked.limit * MAX_REDEEM_DEBT.as_secs_f64();
        if asked.ratio > 0.0 && !is_in_debt && reservations.redeem(&key, caller, now) {
            return true;
        }
        let reserved = reservations.reserved(&key, now);
        let reserved_share =
            if reserved > 0.0 { (reserved / asked.own_before).min(1.0) } else { 0.0 };
        let ratio = asked.ratio - reserved_share;
        match reservations.admits_return(&key, caller, ratio, now) {
            Some(is_admitted) => is_admitted,
            None => account.bucket.admits(ratio),
        }
    }

    /// Counts a request in the demand of an account; returns `None` if it has no limit.
    fn ask(&mut self, key: Key, now: Instant) -> Option<Asked> {
        let view = self.fleet_view(now);
        let limit = self.refill(key, view, now)?;
        let others = self.reachable_usage(key, &view);
        let account = self.accounts.get_mut(&key)?;
        let own_before = account.asked.get(now);
        account.asked.add(1.0, now);
        let own = account.asked.get(now);
        let ratio = account.bucket.admission_ratio(limit, own + others.demand, view.extra);
        Some(Asked { limit, share: limit * view.own_share(), own, own_before, ratio })
    }

    /// Records that a request is admitted.
    fn record_admitted(&mut self, key: Key, asked: Asked, now: Instant) {
        let Some(account) = self.accounts.get_mut(&key) else { return };
        account.admit(1.0, asked.share, now);
        let excess = account.excess.get(asked.share, now);
        if asked.own >= asked.share * NEAR_LIMIT_DEMAND || excess >= NEAR_LIMIT_EXCESS {
            self.near_limit.insert(key, now);
        }
    }

    /// Refills the bucket of an organisation up to `now`; returns the part of its limit that
    /// belongs to the reachable nodes.
    fn refill(&mut self, key: Key, view: share::FleetView, now: Instant) -> Option<f64> {
        let others = self.reachable_usage(key, &view).admitted;
        let account = self.accounts.get_mut(&key)?;
        let share = view.reachable_share();
        let limit = account.quota.rate * share;
        let capacity = (account.quota.burst + self.slack * BUCKET_SLACK) * share;
        account.bucket.refill(limit, others, capacity, now);
        Some(limit)
    }

    /// Reverts [`Quotas::admit`] for a request that was not sent.
    pub fn give_back(&mut self, organisation: &id::Organisation, now: Instant) {
        let view = self.fleet_view(now);
        if let Some(account) = self.accounts.get_mut(&Key::for_organisation(organisation)) {
            let share = account.quota.rate * view.reachable_share() * view.own_share();
            account.admit(-1.0, share, now);
        }
    }

    /// Returns the usages that this node is due to report to the others.
    pub fn report(&mut self, now: Instant) -> Vec<Usage> {
        self.near_limit.retain(|_, at| now.saturating_duration_since(*at) < NEAR_LIMIT_TIME);
        let mut usages = Vec::new();
        if !self.has_limits() {
            return usages;
        }
        let view = self.fleet_view(now);
        let total = Usage { asked: self.total_demand.get(now), ..Usage::idle(Key::ALL) };
        usages.extend(self.reporter.report(total, f64::INFINITY, self.timing, now));
        let reported = self.reports.near_limit(now, NEAR_LIMIT_TIME);
        let own = self.near_limit.keys().copied();
        let keys: collections::BTreeSet<Key> = own.chain(reported).collect();
        for key in keys {
            let Some(account) = self.accounts.get(&key) else { continue };
            let is_near = self.near_limit.contains_key(&key);
            let (asked, admitted) = (account.asked.get(now), account.admitted.get(now));
            let share = account.quota.rate * view.reachable_share() * view.own_share();
            let excess = account.excess.get(share, now);
            let debt = account.bucket.debt();
            let usage = Usage { key, asked, admitted, excess, debt, is_near };
            usages.extend(self.reporter.report(usage, account.quota.rate, self.timing, now));
        }
        usages
    }

    /// Returns the summed usages of the nodes selected by `is_included` that `forwarder` is due to
    /// forward.
    pub fn report_sum(
        &mut self,
        is_included: impl Fn(&id::Node) -> bool,
        forwarder: &mut forwarder::Forwarder,
        now: Instant,
    ) -> Vec<Usage> {
        let accounts = &self.accounts;
        let limit = |key| accounts.get(&key).map_or(f64::INFINITY, |a| a.quota.rate);
        forwarder.report(&mut self.reports, is_included, limit, self.timing, now)
    }

    /// Records the usages that another node reported.
    pub fn receive(&mut self, node: &id::Node, usages: &[Usage], now: Instant) {
        self.reachability.record_report(now);
        let view = self.fleet_view(now);
        for usage in usages {
            // Until now the bucket was refilled according to the previous reports.
            self.refill(usage.key, view, now);
            let effect = self.reports.record(node, *usage, now);
            let Some(account) = self.accounts.get_mut(&usage.key) else { continue };
            match effect {
                reports::Effect::Surplus(requests) => account.bucket.deduct(requests),
                reports::Effect::First => {
                    account.bucket.deduct(usage.excess);
                    if self.reachability.has_just_started(now) {
                        account.bucket.raise_debt(usage.debt);
                    }
                }
            }
        }
    }

    /// Removes expired reports, both received and sent ones, and saves the fleet's current demand.
    pub fn tick(&mut self, now: Instant) {
        self.reports.expire(now);
        self.reporter.expire(self.timing.validity, now);
        self.reachability.save_demand(self.total_demand.get(now), &self.reports, now);
        if let Some(reservations) = &mut self.reservations {
            reservations.tick(now);
        }
    }

    /// Returns the names of the organisations that this node found near their limits, for the dump.
    pub fn near(&self) -> impl Iterator<Item = &str> {
        let near_limit = self.near_limit.keys().filter_map(|key| self.accounts.get(key));
        near_limit.map(|account| account.name.as_str())
    }

    fn fleet_view(&self, now: Instant) -> share::FleetView {
        self.reachability.fleet_view(self.total_demand.get(now), &self.reports, now)
    }

    /// Returns the demand and the admitted requests at the other nodes that this one reaches.
    fn reachable_usage(&self, key: Key, view: &share::FleetView) -> reports::Sum {
        match view.reaches_others {
            true => self.reports.sum(key),
            false => reports::Sum::default(),
        }
    }
}
