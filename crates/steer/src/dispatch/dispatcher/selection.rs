//! Which upstream of a region takes a request.

use std::cmp;
use std::sync;
use std::time::{Duration, Instant};

use model::discovery;
use model::id;
use xxhash_rust::xxh3;

use super::Dispatcher;
use crate::dispatch::ask;
use crate::dispatch::refusal;
use crate::dispatch::upstream;

/// Part of the bound that requests may use which leave a crowded region by themselves.
const SPILL_USED: f64 = 0.3;

/// Wait that makes a region crowded, as a part of the time within which an answer is wanted.
const CROWDED: f64 = 0.5;

/// Wait, in seconds, by which another region must be better to be worth the way.
const WORTH_THE_WAY: f64 = 0.1;

/// Cost of an object's second upstream against its first, which knows the object.
const SECOND_COST: f64 = 2.5;

/// Cost of an upstream that has probably not seen the object.
const FURTHER_COST: f64 = 5.0;

/// Cost of an upstream all of whose tries broke, against a sound one.
const FAILURE_COST: f64 = 6.0;

/// Longest wait, as a part of the time within which an answer is wanted, where waiting alone would make
/// it late.
const LONGEST_WAIT: f64 = 0.6;

/// Longest time after which a refused request is told to come back.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Shortest time after which a refused request is worth another try.
const SHORTEST_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The best upstream of a region for a request.
#[derive(Clone, Debug)]
struct Candidate {
    entry: sync::Arc<discovery::Entry>,
    /// Time the request would wait, in seconds.
    wait: f64,
    /// Time that upstreams of the service work on a request, in seconds.
    work: f64,
    /// A careful guess of the time until it would be done, in seconds.
    expected: f64,
    /// Age of what was last heard of its load.
    load_age: Duration,
}

impl Candidate {
    /// Returns by how much a request would wait too long here, in seconds; negative when it would not.
    ///
    /// It may not be done later than its caller waits, nor wait longer than [`longest_wait`].
    fn surplus(&self, ask: &ask::Ask<'_>) -> f64 {
        let beyond_deadline = self.expected - ask.left.as_secs_f64();
        beyond_deadline.max(self.wait - longest_wait(self.work, ask))
    }

    fn estimate(&self, left: Duration) -> refusal::Estimate {
        refusal::Estimate {
            upstream: self.entry.id.clone(),
            wait: Duration::from_secs_f64(self.wait),
            expected: Duration::from_secs_f64(self.expected),
            left,
            load_age: self.load_age,
        }
    }
}

impl Dispatcher {
    /// Returns the upstream for a request; [`Dispatcher::sent`] must follow when it is sent.
    ///
    /// # Errors
    ///
    /// Fails when no upstream may take the request in its time.
    pub fn choose(
        &mut self,
        ask: &ask::Ask<'_>,
        now: Instant,
    ) -> Result<sync::Arc<discovery::Entry>, refusal::Refusal> {
        if ask.tried.is_empty() {
            self.spill.earn(self.bounds.greatest_shift * SPILL_USED);
        }
        let regions = self.region_order(ask, now);
        let options = regions.iter().filter_map(|region| self.best_in(region, ask, now));
        let options: Vec<Candidate> = options.collect();
        let Some((own, others)) = options.split_first() else {
            return Err(refusal::Refusal::NoUpstream(self.census(ask, now)));
        };
        let chosen = self.spilled(own, others, ask).unwrap_or(own);
        let surplus = chosen.surplus(ask);
        // Where nothing waits, a try costs nobody anything, and its answer tells how long work takes.
        if chosen.wait > 0.0 && surplus > 0.0 {
            let surplus = surplus.min(LONGEST_RETRY_AFTER.as_secs_f64());
            let retry_after = SHORTEST_RETRY_AFTER.max(Duration::from_secs_f64(surplus));
            let estimate = chosen.estimate(ask.left);
            return Err(refusal::Refusal::Overloaded { retry_after, estimate });
        }
        Ok(sync::Arc::clone(&chosen.entry))
    }

    /// Counts the upstreams of the service by why they may not take the request.
    fn census(&self, ask: &ask::Ask<'_>, now: Instant) -> refusal::Census {
        let ids = self.services.get(ask.service).into_iter().flatten();
        let mut census = refusal::Census::default();
        for upstream in ids.filter_map(|id| self.upstreams.get(id)) {
            census.known += 1;
            let homes = &ask.route.home_regions;
            match () {
                () if !homes.is_empty() && !homes.contains(&upstream.region) => census.outside += 1,
                () if !upstream.is_usable() => census.leaving += 1,
                () if !self.takes_work(upstream) => census.evacuated += 1,
                () if ask.tried.contains(&upstream.entry.id) => census.tried += 1,
                () if !self.may_warm(upstream, now) => census.cold += 1,
                () => {}
            }
        }
        census
    }

    /// Returns the upstream of another region that is so much less crowded than the request's own
    /// that the request should go there, if the bound on shifts allows.
    fn spilled<'a>(
        &mut self,
        own: &Candidate,
        others: &'a [Candidate],
        ask: &ask::Ask<'_>,
    ) -> Option<&'a Candidate> {
        if own.wait <= ask.route.target_latency.as_secs_f64() * CROWDED {
            return None;
        }
        let by_wait = |a: &&Candidate, b: &&Candidate| {
            a.wait.partial_cmp(&b.wait).unwrap_or(cmp::Ordering::Equal)
        };
        let best = others.iter().min_by(by_wait)?;
        let is_worth = best.wait + WORTH_THE_WAY < own.wait;
        (is_worth && self.spill.take()).then_some(best)
    }

    pub(super) fn takes_work(&self, upstream: &upstream::Upstream) -> bool {
        upstream.is_usable() && !self.evacuated.contains(&upstream.entry.hall)
    }

    /// Returns whether a cold upstream may get one more request, from this node.
    fn may_warm(&self, upstream: &upstream::Upstream, now: Instant) -> bool {
        let rules = self.routing.services.get(&upstream.entry.service);
        let Some(rate) = rules.and_then(|r| r.cold_rate) else { return true };
        if !upstream.cold.is_cold(now) {
            return true;
        }
        let own = &self.position.region;
        let owner = self.owners.of(&upstream.entry.id, &upstream.region, own);
        owner == Some(&self.position.node) && upstream.cold.has_room(rate, now)
    }

    /// Returns the best upstream of a region.
    fn best_in(&self, region: &id::Region, ask: &ask::Ask<'_>, now: Instant) -> Option<Candidate> {
        let work = self.work.get(ask.service).copied().unwrap_or_default();
        let ids = self.services.get(ask.service)?;
        let mut candidates: Vec<(u64, &upstream::Upstream)> = ids
            .iter()
            .filter(|id| !ask.tried.contains(id))
            .filter_map(|id| self.upstreams.get(id))
            .filter(|b| b.region == *region && self.takes_work(b) && self.may_warm(b, now))
            .map(|b| (affinity(ask.key, &b.entry.id), b))
            .collect();
        candidates.sort_by_key(|(hash, _)| cmp::Reverse(*hash));
        let is_sound = |b: &upstream::Upstream| {
            !b.health.is_ejected(now) && !b.health.is_silent(work.mean(), now)
        };
        if candidates.iter().any(|(_, b)| is_sound(b)) {
            candidates.retain(|(_, b)| is_sound(b));
        }
        let mut best: Option<(&upstream::Upstream, f64)> = None;
        for (rank, (_, upstream)) in candidates.iter().enumerate() {
            let cost = upstream.expected(work.mean(), now)
                * affinity_cost(ask.route.is_sticky, rank)
                * (1.0 + upstream.health.failures(now) * FAILURE_COST);
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((upstream, cost));
            }
        }
        let longest = longest_wait(work.mean(), ask);
        if best.is_some_and(|(b, _)| b.wait(work.mean(), now) > longest) {
            // Rather than refuse it, the object gets a second upstream that has nothing to do.
            let idle = candidates.iter().take(2).find(|(_, b)| b.wait(work.mean(), now) <= 0.0);
            best = idle.map(|(_, b)| (*b, 0.0)).or(best);
        }
        best.map(|(upstream, _)| {
            let wait = upstream.wait(work.mean(), now);
            let entry = sync::Arc::clone(&upstream.entry);
            let load_age = upstream.load.age(now);
            let expected = wait + work.careful();
            Candidate { entry, wait, work: work.mean(), expected, load_age }
        })
    }
}

/// Returns how long a request may wait for an upstream, in seconds, where work takes `work`.
///
/// Where it could be in time but for the wait, it may not wait long: a queue that makes all answers late
/// helps nobody, and a caller that is refused at once finds a shorter one when it comes back.
fn longest_wait(work: f64, ask: &ask::Ask<'_>) -> f64 {
    let target = ask.route.target_latency.as_secs_f64();
    match work <= target {
        true => target * LONGEST_WAIT,
        false => f64::INFINITY,
    }
}

/// Returns how much dearer an upstream is than the one that knows the object best.
fn affinity_cost(is_sticky: bool, rank: usize) -> f64 {
    match (is_sticky, rank) {
        (false, _) | (true, 0) => 1.0,
        (true, 1) => SECOND_COST,
        (true, _) => FURTHER_COST,
    }
}

fn affinity(key: u64, upstream: &id::Upstream) -> u64 {
    xxh3::xxh3_64_with_seed(upstream.as_str().as_bytes(), key)
}
