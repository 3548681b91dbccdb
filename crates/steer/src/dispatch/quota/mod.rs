//! Quota: how many requests of an organisation a node admits, so that the fleet stays within the organisation's limit.
//!
//! Nodes share no counter. Each reports to the others, with its loads, how many requests each organisation near its limit
//! asks of it ([`usage`]). An organisation whose requests together stay below its limit is never refused. Above it, a node
//! admits the same part of its requests as all others do, and keeps a [`bucket`] that fills at the node's [`part`] of the
//! limit, so that the parts sum to the limit however late reports are. What was admitted before the reports of a sudden load
//! arrived is a debt of the bucket. A node that cannot reach others keeps to the part of the limit that its part of all
//! admitted requests makes, and the others leave that to it.
//!
//! Owns the accounts of the organisations that have a limit. Reads no clock; the present is passed in.

pub mod bucket;
pub mod part;
pub mod rate;
pub mod reporter;
pub mod reports;
pub mod usage;

use std::collections;
use std::time::{Duration, Instant};

use model::id;
use model::organisation;
use model::routing;

use usage::{Key, Usage};
use xxhash_rust::xxh3;

/// Time for which an organisation counts as near its limit after a node said so.
///
/// Not measured; some times the memory of [`rate::Rate`], so that one that hovers there is reported all the while.
const NEAR_TIME: Duration = Duration::from_secs(3);

/// Part of its share of a limit that a node is asked for from which it says that the organisation is near its limit.
///
/// Not measured. Where no node says so, the fleet is asked for less than this part of the limit.
const NEAR_PART: f64 = 0.75;

/// Shortest and longest time after which a refused caller may come back. Not measured; the longest is the window in which
/// quotas are counted by default.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// One organisation with a limit.
#[derive(Clone, Debug)]
struct Account {
    name: id::Organisation,
    quota: organisation::Quota,
    asked: rate::Rate,
    bucket: bucket::Bucket,
}

/// The accounts of all organisations that have a limit.
#[derive(Clone, Debug)]
pub struct Quotas {
    accounts: collections::HashMap<Key, Account>,
    /// Requests of organisations below their limits: one far above its own would make its nodes' parts larger.
    all: rate::Rate,
    reports: reports::Reports,
    near: collections::BTreeMap<Key, Instant>,
    reporter: reporter::Reporter,
    slack: f64,
    seed: u64,
    others: usize,
    is_store_known: bool,
    /// Requests of the whole fleet when all of its nodes were reached last.
    whole: Option<f64>,
    started: Instant,
}

impl Quotas {
    /// Makes the accounts of `node`; `slack` is how many requests over its limit an organisation may have, over the
    /// fleet.
    #[must_use]
    pub fn new(node: &id::Node, slack: f64, now: Instant) -> Self {
        Self {
            accounts: collections::HashMap::new(),
            all: rate::Rate::new(now),
            reports: reports::Reports::default(),
            near: collections::BTreeMap::new(),
            reporter: reporter::Reporter::default(),
            slack,
            seed: xxh3::xxh3_64(node.as_str().as_bytes()),
            others: 0,
            is_store_known: true,
            whole: None,
            started: now,
        }
    }

    /// Takes over a configuration; an organisation whose limit changes keeps what is known of its requests.
    pub fn configure(&mut self, routing: &routing::Routing, now: Instant) {
        let mut before = std::mem::take(&mut self.accounts);
        let organisations = routing.organisations.iter().flat_map(organisation::Index::iter);
        for organisation in organisations {
            let Some(quota) = organisation.quota else { continue };
            let key = Key::of(&organisation.name);
            let account = match before.remove(&key) {
                Some(known) => Account { quota, ..known },
                None => Account {
                    name: organisation.name.clone(),
                    quota,
                    asked: rate::Rate::new(now),
                    bucket: bucket::Bucket::new(self.seed ^ u64::from(key.0), now),
                },
            };
            self.accounts.insert(key, account);
        }
        self.near.retain(|key, _| self.accounts.contains_key(key));
    }

    /// Returns whether any organisation has a limit.
    #[must_use]
    pub fn is_used(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Sets how many other nodes are known or listed.
    pub fn set_others(&mut self, others: usize) {
        self.others = others;
    }

    /// Sets whether this node, or one that it reaches, reaches the store; one that does not is cut off itself.
    pub fn set_store_known(&mut self, is_known: bool) {
        self.is_store_known = is_known;
    }

    /// Takes a request of an organisation.
    ///
    /// # Errors
    ///
    /// Returns the time after which there is room when the organisation is over its limit.
    pub fn admit(&mut self, organisation: &id::Organisation, now: Instant) -> Result<(), Duration> {
        if !self.is_used() {
            return Ok(());
        }
        self.admit_limited(Key::of(organisation), now)
    }

    fn admit_limited(&mut self, key: Key, now: Instant) -> Result<(), Duration> {
        let standing = self.standing(now);
        let Some(account) = self.accounts.get_mut(&key) else {
            self.all.add(now);
            return Ok(());
        };
        account.asked.add(now);
        let own = account.asked.get(now);
        let limit = account.quota.rate * standing.limit_part();
        if own >= limit * standing.own_part() * NEAR_PART {
            self.near.insert(key, now);
        }
        let asked = own + self.reports.sum(key, now).unwrap_or_default();
        let Some(part) = self.advance(key, standing, now) else { return Ok(()) };
        let Some(account) = self.accounts.get_mut(&key) else { return Ok(()) };
        let is_below = asked < limit;
        if is_below || account.bucket.admits(limit / asked) {
            account.bucket.take(part.capacity());
            if is_below {
                self.all.add(now);
            }
            return Ok(());
        }
        let (shortest, longest) = RETRY_AFTER;
        Err(account.bucket.time_to_room(&part).clamp(shortest, longest))
    }

    /// Fills the bucket of an organisation up to `now`; returns this node's part of its limit.
    fn advance(&mut self, key: Key, standing: part::Standing, now: Instant) -> Option<part::Part> {
        let account = self.accounts.get_mut(&key)?;
        let reported = self.reporter.reported(key).unwrap_or_else(|| account.asked.get(now));
        let others = self.reports.sum(key, now);
        let part = part::Part {
            share: others.map_or(standing.own_part(), |others| part::share(reported, others)),
            limit: account.quota.rate * standing.limit_part(),
            burst: account.quota.burst * standing.limit_part(),
            slack: self.slack * standing.limit_part() * standing.own_part(),
        };
        account.bucket.advance(part.refill(), part.capacity(), now);
        Some(part)
    }

    /// Gives back what [`Quotas::admit`] took for a request that was not sent after all.
    pub fn give_back(&mut self, organisation: &id::Organisation) {
        if let Some(account) = self.accounts.get_mut(&Key::of(organisation)) {
            account.bucket.give_back();
        }
    }

    /// Returns what this node has to report to the others now; none of it is reported again before it changes or ages.
    pub fn report(&mut self, now: Instant) -> Vec<Usage> {
        self.near.retain(|_, at| now.saturating_duration_since(*at) < NEAR_TIME);
        let mut usages = Vec::new();
        if !self.is_used() {
            return usages;
        }
        let all = Usage { key: Key::ALL, rate: self.all.get(now), is_near: false };
        usages.extend(self.reporter.report(all, f64::INFINITY, now));
        let reached = self.reports.near(now, NEAR_TIME);
        let keys: collections::BTreeSet<Key> = self.near.keys().copied().chain(reached).collect();
        let standing = self.standing(now);
        for key in keys {
            // Up to here the bucket filled by what was reported before.
            self.advance(key, standing, now);
            let Some(account) = self.accounts.get(&key) else { continue };
            let is_near = self.near.contains_key(&key);
            let usage = Usage { key, rate: account.asked.get(now), is_near };
            usages.extend(self.reporter.report(usage, account.quota.rate, now));
        }
        usages
    }

    /// Returns what the `wanted` nodes reported together, as far as `reporter` has not reported it yet.
    pub fn report_sum(
        &self,
        wanted: impl Fn(&id::Node) -> bool,
        reporter: &mut reporter::Reporter,
        now: Instant,
    ) -> Vec<Usage> {
        let limit = |key| self.accounts.get(&key).map_or(f64::INFINITY, |a| a.quota.rate);
        let sums = self.reports.sums(wanted, now).into_iter();
        sums.filter_map(|usage| reporter.report(usage, limit(usage.key), now)).collect()
    }

    /// Records what another node reported.
    pub fn receive(&mut self, node: &id::Node, usages: &[Usage], now: Instant) {
        self.reports.record(node, usages, now);
    }

    /// Drops reports that no longer count, and forgets what was reported before them.
    pub fn tick(&mut self, now: Instant) {
        self.reports.expire(now);
        self.reporter.expire(reports::FRESH, now);
        if self.reports.silent(Key::ALL, now) <= 0.0 {
            let reached = self.reports.sum(Key::ALL, now);
            self.whole = reached.map(|reached| reached + self.all.get(now));
        }
    }

    /// Returns the organisations that are near their limits by what is asked of this node, for the dump.
    pub fn near(&self) -> impl Iterator<Item = &id::Organisation> {
        self.near.keys().filter_map(|key| self.accounts.get(key)).map(|account| &account.name)
    }

    fn standing(&self, now: Instant) -> part::Standing {
        let is_alone = self.reports.is_empty()
            && self.others > 0
            && now.saturating_duration_since(self.started) >= reports::FRESH;
        match is_alone {
            true => part::Standing::alone(self.others),
            false => part::Standing {
                own: self.all.get(now),
                reached: self.reports.sum(Key::ALL, now).unwrap_or_default(),
                silent: self.reports.silent(Key::ALL, now),
                whole: self.whole.filter(|_| !self.is_store_known),
            },
        }
    }
}
