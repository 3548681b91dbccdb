//! The duty of an owner: exact counts of what runs at its upstreams, and a short queue before them.

use std::collections;
use std::time::{Duration, Instant};

use model::id;
use model::member;
use model::service;
use model::snapshot;
use model::table;
use model::verdict;

use crate::ownership::action;
use crate::ownership::allotment;
use crate::ownership::health;
use crate::ownership::heartbeat;
use crate::ownership::lease;
use crate::ownership::ledger;
use crate::ownership::owned;
use crate::ownership::queue;
use crate::ownership::rates;
use crate::ownership::report;
use crate::ownership::request;
use crate::ownership::slow_start;
use crate::ownership::vms;
use model::upstream;

/// Time for which a slot stays taken after its request was abandoned, so that the upstream has
/// noticed the closed connection.
pub const CANCEL_GRACE: Duration = Duration::from_millis(250);

/// Time in which a lease may be used for starting work, from when it was asked for.
///
/// Longer than three heartbeats, so that two lost ones do not end it; short, since a dead owner's slots
/// stay away for this time and a deadline more.
pub const LEASE_TERM: Duration = Duration::from_secs(3);

/// Most requests that wait for each slot.
const QUEUE_PER_SLOT: usize = 4;

/// Usual time of an answer before one was measured, in seconds.
const FIRST_GUESS: f64 = 0.05;

/// Weight of a new answer in a service's usual time.
const WEIGHT: f64 = 0.02;

/// The owner's duty.
#[derive(Debug, Default)]
pub struct Owner {
    /// The upstreams of this region.
    pub upstreams: collections::BTreeMap<upstream::Key, owned::Upstream>,
    services: collections::BTreeMap<id::Service, Served>,
    running: collections::HashMap<request::Id, Running>,
}

/// One service at this owner.
#[derive(Debug)]
struct Served {
    spec: std::sync::Arc<service::Service>,
    queue: queue::Queue,
    rates: rates::Rates,
    usual: Option<f64>,
}

/// A request that holds a slot.
#[derive(Debug)]
struct Running {
    key: upstream::Key,
    source: ledger::Source,
    since: Instant,
    deadline: Instant,
}

impl Owner {
    /// Takes in a configuration.
    pub fn configure(&mut self, snapshot: &snapshot::Snapshot, region: &id::Region) {
        let is_first = self.services.is_empty();
        for upstream in self.upstreams.values_mut() {
            upstream.is_declared = false;
        }
        for stored in snapshot.services.values() {
            self.configure_service(&stored.spec, region, is_first);
        }
        self.services.retain(|name, served| {
            snapshot.services.contains_key(name) || !served.queue.is_empty()
        });
        self.upstreams.retain(|_, u| u.is_declared || !u.ledger.is_idle());
    }

    /// Computes this node's allotment anew.
    pub fn assign(
        &mut self,
        table: &table::Table,
        me: &member::Key,
        settled: &dyn Fn(&member::Key) -> model::epoch::Epoch,
    ) {
        for (key, upstream) in &mut self.upstreams {
            let slots = upstream.ledger.slots;
            upstream.ledger.allotment = allotment::compute(table, me, key, slots, settled);
            if upstream.ledger.allotment.owner() != Some(me) {
                upstream.ledger.end_held_leases();
            }
        }
    }

    /// Takes in drains and the VM list.
    pub fn drain(
        &mut self,
        snapshot: &snapshot::Snapshot,
        vms: &vms::List,
        wall: std::time::SystemTime,
    ) {
        for stored in snapshot.services.values() {
            for spec in &stored.spec.upstreams {
                let drains = snapshot.drains.values();
                let planned = drains.into_iter().any(|d| d.spec.covers(spec, wall));
                let leaving = vms.is_leaving(spec.address.ip()) || vms.is_gone(spec.address.ip());
                let key = key_of(&stored.spec.name, &spec.name);
                if let Some(upstream) = self.upstreams.get_mut(&key) {
                    upstream.is_drained = planned || leaving;
                }
            }
        }
    }

    /// Decides on a request that wants a slot.
    pub fn offer(&mut self, offer: request::Offer, now: Instant, out: &mut Vec<action::Action>) {
        let Some(served) = self.services.get_mut(&offer.service) else {
            return refuse(offer.id, verdict::Failure::not_run(verdict::Reason::NotHome), out);
        };
        served.rates.count(&offer.place);
        if offer.deadline <= now {
            return refuse(offer.id, verdict::Failure::not_run(verdict::Reason::Deadline), out);
        }
        let is_first = self.queue_len(&offer.service) == 0;
        match self.choose(&offer, now) {
            Some(found) if is_first => self.start(offer, found, now, out),
            _ if offer.may_wait => self.hold(offer, now, out),
            _ => {
                let reason = match self.capacity(&offer.service, now) {
                    0 => verdict::Reason::NotHome,
                    _ => verdict::Reason::Busy,
                };
                refuse(offer.id, verdict::Failure::not_run(reason), out);
            }
        }
    }

    /// Notes that a request ended, and starts those that waited for its slot.
    pub fn done(
        &mut self,
        id: request::Id,
        outcome: request::Outcome,
        now: Instant,
        out: &mut Vec<action::Action>,
    ) {
        let Some(running) = self.running.remove(&id) else { return };
        let service = running.key.service.clone();
        self.settle(running, outcome, now);
        self.pump(&service, now, out);
    }

    /// Takes back a request whose caller gave up before it learned of its slot.
    ///
    /// It may have been given one in the meantime; nothing was sent there, so it is free at once.
    pub fn withdraw(&mut self, id: request::Id, now: Instant, out: &mut Vec<action::Action>) {
        for served in self.services.values_mut() {
            served.queue.remove(id);
        }
        self.done(id, request::Outcome::Shed, now, out);
    }

    /// Takes in the outcome of a probe.
    pub fn probed(&mut self, key: &upstream::Key, report: Option<&report::Report>) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        if upstream.health.probed(report) {
            upstream.slow_start = slow_start::SlowStart::cold();
        }
    }

    /// Ends what has passed, and starts what can.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<action::Action>) {
        for upstream in self.upstreams.values_mut() {
            upstream.ledger.expire(now);
        }
        let names: Vec<id::Service> = self.services.keys().cloned().collect();
        for name in names {
            self.pump(&name, now, out);
            self.expire_queue(&name, now, out);
        }
    }

    /// Rolls the rates of arrivals.
    pub fn roll(&mut self, now: Instant) {
        for served in self.services.values_mut() {
            served.rates.roll(now);
        }
    }

    /// Returns what this owner says of each service.
    #[must_use]
    pub fn summaries(
        &self,
        key: &member::Key,
        region: &id::Region,
        sequence: u64,
        now: Instant,
    ) -> Vec<heartbeat::Summary> {
        let summary = |(name, served): (&id::Service, &Served)| {
            let of_service = self.upstreams_of(name);
            let usable = of_service.clone().map(|(_, u)| u.limit(now)).sum();
            let in_flight = of_service.map(|(_, u)| u.ledger.in_flight()).sum();
            heartbeat::Summary {
                key: key.clone(),
                region: region.clone(),
                service: name.clone(),
                sequence,
                usable,
                in_flight,
                queued: u32::try_from(served.queue.len()).unwrap_or(u32::MAX),
                rates: served.rates.thousandths(),
            }
        };
        let says_something =
            |s: &heartbeat::Summary| s.usable + s.in_flight + s.queued > 0 || !s.rates.is_empty();
        self.services.iter().map(summary).filter(says_something).collect()
    }

    /// Grants to `owner` what this node does not use of the upstreams it is owner of.
    pub fn grant(&mut self, owner: &member::Key, now: Instant) -> Vec<heartbeat::Lease> {
        let mut leases = Vec::new();
        for (key, upstream) in &mut self.upstreams {
            let led = upstream.ledger.allotment.owner() == Some(owner);
            let ranked = upstream.ledger.allotment.usable > 0;
            if !led || !ranked {
                continue;
            }
            let Some(served) = self.services.get(&key.service) else { continue };
            let tail = served.spec.deadline + CANCEL_GRACE;
            let slots = upstream.ledger.grant(owner, now, now + LEASE_TERM + tail);
            if slots > 0 {
                leases.push(heartbeat::Lease { upstream: key.clone(), slots, tail });
            }
        }
        leases
    }

    /// Takes in the leases of `grantor`, asked for at `asked`.
    pub fn hold_lease(
        &mut self,
        grantor: &member::Key,
        me: &member::Key,
        leases: &[heartbeat::Lease],
        asked: Instant,
        term: Duration,
    ) {
        for lease in leases {
            let terms = lease::Terms { term, tail: lease.tail };
            match self.upstreams.get_mut(&lease.upstream) {
                Some(upstream) if upstream.ledger.allotment.owner() == Some(me) => {
                    upstream.ledger.hold_lease(grantor, lease.slots, asked, terms);
                }
                _ => {}
            }
        }
    }

    /// Takes back from `owner`, which is owner no longer, all that it does not hold any more.
    pub fn reclaim(&mut self, owner: &member::Key, held: &[heartbeat::Lease]) {
        for (key, upstream) in &mut self.upstreams {
            if upstream.ledger.allotment.owner() == Some(owner) {
                continue;
            }
            let slots = held.iter().find(|h| h.upstream == *key).map_or(0, |h| h.slots);
            upstream.ledger.reclaim(owner, slots);
        }
    }

    /// Returns what this node still holds of `grantor` at upstreams it is no longer owner of.
    #[must_use]
    pub fn held(&self, me: &member::Key, grantor: &member::Key) -> Vec<heartbeat::Lease> {
        let mut held = Vec::new();
        for (key, upstream) in &self.upstreams {
            if upstream.ledger.allotment.owner() == Some(me) {
                continue;
            }
            let of_lender = upstream
                .ledger
                .running_on_leases()
                .find(|(key, slots)| *key == grantor && *slots > 0);
            if let Some((_, slots)) = of_lender {
                let upstream = key.clone();
                held.push(heartbeat::Lease { upstream, slots, tail: Duration::ZERO });
            }
        }
        held
    }

    /// Returns the nodes whose shares this node wants_leases.
    #[must_use]
    pub fn grantors(&self, me: &member::Key) -> collections::BTreeSet<&member::Key> {
        let led = self.upstreams.values().filter(|u| u.ledger.allotment.owner() == Some(me));
        led.flat_map(|u| u.ledger.allotment.ranked.iter().skip(1)).collect()
    }

    /// Returns whether every ledger fits its share of the newest epoch.
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        self.upstreams.values().all(|u| u.ledger.is_settled(now))
    }

    /// Returns how many requests run or wait.
    #[must_use]
    pub fn load(&self) -> usize {
        self.running.len() + self.services.values().map(|s| s.queue.len()).sum::<usize>()
    }

    /// Returns how much of its slots a service uses here, requests that wait included.
    #[must_use]
    pub fn use_of(&self, service: &id::Service, now: Instant) -> heartbeat::Usage {
        let of_service = self.upstreams_of(service);
        let in_flight: u32 = of_service.clone().map(|(_, u)| u.ledger.in_flight()).sum();
        let queued = u32::try_from(self.queue_len(service)).unwrap_or(u32::MAX);
        let usable = of_service.map(|(_, u)| u.limit(now)).sum();
        heartbeat::Usage { busy: in_flight.saturating_add(queued), usable }
    }

    /// Returns how many requests of a service wait.
    #[must_use]
    pub fn queue_len(&self, service: &id::Service) -> usize {
        self.services.get(service).map_or(0, |served| served.queue.len())
    }

    fn configure_service(
        &mut self,
        spec: &std::sync::Arc<service::Service>,
        region: &id::Region,
        is_first: bool,
    ) {
        let served = self.services.entry(spec.name.clone()).or_insert_with(|| Served {
            spec: std::sync::Arc::clone(spec),
            queue: queue::Queue::default(),
            rates: rates::Rates::default(),
            usual: None,
        });
        served.spec = std::sync::Arc::clone(spec);
        for declared in spec.upstreams.iter().filter(|u| u.region == *region) {
            let key = key_of(&spec.name, &declared.name);
            let upstream =
                self.upstreams.entry(key).or_insert_with(|| new_upstream(declared, is_first));
            upstream.is_declared = true;
            upstream.ledger.slots = declared.slots;
            if upstream.address != declared.address {
                upstream.address = declared.address;
                upstream.slow_start = slow_start::SlowStart::cold();
                upstream.health = health::Health::default();
            }
        }
    }

    fn upstreams_of<'a>(
        &'a self,
        service: &'a id::Service,
    ) -> impl Iterator<Item = (&'a upstream::Key, &'a owned::Upstream)> + Clone {
        let first = upstream::Key { service: service.clone(), upstream: id::Upstream::new("") };
        self.upstreams.range(first..).take_while(move |(key, _)| key.service == *service)
    }

    /// Returns the slots usable now at all upstreams of a service.
    fn capacity(&self, service: &id::Service, now: Instant) -> u32 {
        self.upstreams_of(service).map(|(_, u)| u.limit(now)).sum()
    }

    /// Returns the best upstream with room for the request, and the slot.
    fn choose(
        &self,
        offer: &request::Offer,
        now: Instant,
    ) -> Option<(upstream::Key, ledger::Source)> {
        let usual = self.services.get(&offer.service).and_then(|s| s.usual);
        let mut best: Option<(f64, &upstream::Key, ledger::Source)> = None;
        for (key, upstream) in self.upstreams_of(&offer.service) {
            if offer.avoid.contains(&key.upstream) {
                continue;
            }
            let Some(source) = upstream.room(now, offer.deadline) else { continue };
            let cost = upstream.cost(now, usual);
            if best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
                best = Some((cost, key, source));
            }
        }
        best.map(|(_, key, source)| (key.clone(), source))
    }

    fn start(
        &mut self,
        offer: request::Offer,
        found: (upstream::Key, ledger::Source),
        now: Instant,
        out: &mut Vec<action::Action>,
    ) {
        let (key, source) = found;
        let Some(upstream) = self.upstreams.get_mut(&key) else { return };
        upstream.ledger.start(&source);
        out.push(action::Action::Run {
            request: offer.id,
            upstream: key.upstream.clone(),
            address: upstream.address,
        });
        let running = Running { key, source, since: now, deadline: offer.deadline };
        self.running.insert(offer.id, running);
    }

    /// Lets a request wait, or refuses it when its wait would be too long.
    fn hold(&mut self, offer: request::Offer, now: Instant, out: &mut Vec<action::Action>) {
        let capacity = self.capacity(&offer.service, now);
        let Some(served) = self.services.get_mut(&offer.service) else { return };
        if capacity == 0 {
            return refuse(offer.id, verdict::Failure::not_run(verdict::Reason::NotHome), out);
        }
        let usual = served.usual.unwrap_or(FIRST_GUESS);
        let ahead = f64::from(u32::try_from(served.queue.len() + 1).unwrap_or(u32::MAX));
        let wait = Duration::from_secs_f64(ahead * usual / f64::from(capacity));
        let until = offer.deadline.min(now + served.spec.hold);
        let most = usize::try_from(capacity).unwrap_or(usize::MAX).saturating_mul(QUEUE_PER_SLOT);
        if now + wait > until || served.queue.len() >= most {
            let failure = verdict::Failure::not_run(verdict::Reason::Full).after(wait);
            return refuse(offer.id, failure, out);
        }
        served.queue.push(queue::Waiting { offer, since: now, until });
    }

    fn settle(&mut self, running: Running, outcome: request::Outcome, now: Instant) {
        let latency = now.saturating_duration_since(running.since);
        let Some(served) = self.services.get_mut(&running.key.service) else { return };
        let Some(upstream) = self.upstreams.get_mut(&running.key) else { return };
        match outcome {
            request::Outcome::Answered => {
                upstream.ledger.finish(&running.source);
                upstream.slow_start.answered(latency, served.usual, upstream.ledger.slots);
                upstream.health.succeeded();
                let seconds = latency.as_secs_f64();
                let usual = served.usual.unwrap_or(seconds);
                served.usual = Some(usual + WEIGHT * (seconds - usual));
            }
            request::Outcome::Shed => upstream.ledger.finish(&running.source),
            request::Outcome::Unreachable => {
                upstream.ledger.finish(&running.source);
                upstream.health.failed(now);
            }
            request::Outcome::Broken => {
                upstream.health.failed(now);
                let until = (now + CANCEL_GRACE).min(running.deadline + CANCEL_GRACE);
                upstream.ledger.abandon(running.source, until);
            }
            request::Outcome::Abandoned => {
                let until = (now + CANCEL_GRACE).min(running.deadline + CANCEL_GRACE);
                upstream.ledger.abandon(running.source, until);
            }
        }
    }

    /// Starts waiting requests while there is room.
    fn pump(&mut self, service: &id::Service, now: Instant, out: &mut Vec<action::Action>) {
        loop {
            let Some(served) = self.services.get_mut(service) else { return };
            if served.queue.is_empty() {
                return;
            }
            let mut queue = std::mem::take(&mut served.queue);
            let next = queue.pop_for(|waiting| self.choose(&waiting.offer, now));
            if let Some(served) = self.services.get_mut(service) {
                served.queue = queue;
            }
            match next {
                Some((waiting, found)) => self.start(waiting.offer, found, now, out),
                None => return,
            }
        }
    }

    /// Refuses requests that waited long enough, or whose owner is elsewhere by now.
    fn expire_queue(&mut self, service: &id::Service, now: Instant, out: &mut Vec<action::Action>) {
        let capacity = self.capacity(service, now);
        let Some(served) = self.services.get_mut(service) else { return };
        let (ended, reason) = match capacity {
            0 => (served.queue.clear(), verdict::Reason::NotHome),
            _ => (served.queue.expire(now), verdict::Reason::Full),
        };
        for waiting in ended {
            let reason = match waiting.offer.deadline <= now {
                true => verdict::Reason::Deadline,
                false => reason,
            };
            let failure = verdict::Failure::not_run(reason).after(served.spec.hold);
            refuse(waiting.offer.id, failure, out);
        }
    }
}

fn refuse(request: request::Id, failure: verdict::Failure, out: &mut Vec<action::Action>) {
    out.push(action::Action::Refuse { request, failure });
}

fn key_of(service: &id::Service, upstream: &id::Upstream) -> upstream::Key {
    upstream::Key { service: service.clone(), upstream: upstream.clone() }
}

/// Makes the state of an upstream; one that was declared before this node started counts as warm.
fn new_upstream(declared: &model::upstream::Upstream, is_warm: bool) -> owned::Upstream {
    let slow_start = match is_warm {
        true => slow_start::SlowStart::warm(),
        false => slow_start::SlowStart::cold(),
    };
    owned::Upstream {
        address: declared.address,
        hall: declared.hall.clone(),
        ledger: ledger::Ledger::new(declared.slots, allotment::Allotment::none()),
        slow_start,
        health: health::Health::default(),
        is_drained: false,
        is_declared: true,
    }
}
