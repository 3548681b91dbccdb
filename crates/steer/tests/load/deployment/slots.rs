//! Slots in the simulation: asks and answers between gateways, with the latency of the network, lost
//! datagrams, and gateways that die or pause.
//!
//! Does what `node::gateway` does with the state machines of [`steer::dispatch::slots`].

use std::collections;
use std::time::{Duration, Instant};

use model::id;
use rand::RngExt as _;
use steer::dispatch::candidate;
use steer::dispatch::peer_load;
use steer::dispatch::slots::holder::{FAR_ANSWER_TIMEOUT, Holder, NEAR_ANSWER_TIMEOUT, Release};
use steer::dispatch::slots::ledger::Ledger;
use steer::dispatch::slots::message::{Answer, Ask, Id, Reply};
use steer::dispatch::slots::queue::ANSWER_MARGIN;
use steer::dispatch::slots::{Mode, Owner, Step, step};

use super::{Gateway, Job, Simulation};

/// Interval between ticks of a ledger that is in use.
const LEDGER_TICK: Duration = Duration::from_millis(10);

/// Time after which releases are repeated.
const RELEASE_TICK: Duration = Duration::from_millis(100);

/// Network between the gateways, and whether they use slots.
#[derive(Clone, Debug)]
pub struct Network {
    pub slots: Mode,
    /// One-way latency within a region; the plan has that between regions.
    pub near_latency: Duration,
    /// Share of the asks, answers and releases that are lost.
    pub lost_datagrams: f64,
    /// Share of the load reports that are lost.
    pub lost_reports: f64,
    /// One of as many gateways uses no slots and knows none, as the previous build; 0 for none.
    pub gateways_without: usize,
}

impl Default for Network {
    fn default() -> Self {
        let near_latency = Duration::from_micros(1_400);
        Self {
            slots: Mode::Off,
            near_latency,
            lost_datagrams: 0.0,
            lost_reports: 0.0,
            gateways_without: 0,
        }
    }
}

impl Network {
    pub fn uses_slots(&self) -> bool {
        self.slots != Mode::Off
    }

    /// Returns the mode of one gateway.
    pub(super) fn mode(&self, gateway: usize) -> Mode {
        match self.knows_slots(gateway) {
            true => self.slots,
            false => Mode::Off,
        }
    }

    fn knows_slots(&self, gateway: usize) -> bool {
        self.gateways_without == 0 || !gateway.is_multiple_of(self.gateways_without)
    }
}

/// A slot that a request holds.
#[derive(Clone, Debug)]
pub struct Slot {
    id: Id,
    /// Gateway that granted it.
    granted_by: usize,
}

impl Slot {
    pub fn owner(&self) -> id::Node {
        super::node(self.granted_by)
    }
}

/// A request that has asked for a slot.
#[derive(Debug)]
struct Pending {
    job: Job,
    chosen: candidate::Candidate,
    /// Gateway that was asked: the owner or a representative of its region.
    asked: usize,
    is_queued: bool,
}

/// The slots of one gateway, as owner and as asking side.
#[derive(Debug, Default)]
pub struct Side {
    ledger: Ledger,
    holder: Holder,
    pending: collections::BTreeMap<Id, Pending>,
    is_ticking: bool,
}

impl Side {
    /// Clears the state at a restart; the scheduled tick of the ledger remains.
    ///
    /// Identifiers continue after `elapsed` in microseconds, so that none is repeated.
    pub fn restart(&mut self, elapsed: Duration) {
        let first = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let is_ticking = self.is_ticking;
        *self = Self { holder: Holder::new(first), is_ticking, ..Self::default() };
    }
}

#[derive(Clone, Debug)]
pub enum Event {
    Ask {
        to: usize,
        from: usize,
        ask: Ask,
        is_forwarded: bool,
    },
    Release {
        to: usize,
        from: usize,
        id: Id,
        upstream: peer_load::Key,
        is_forwarded: bool,
    },
    Answer {
        to: usize,
        from: usize,
        answer: Answer,
    },
    /// The time for the first answer to an ask has passed.
    NoAnswer {
        gateway: usize,
        id: Id,
    },
    /// The maximum wait of a queued ask and the margin have passed.
    WaitEnded {
        gateway: usize,
        id: Id,
    },
    LedgerTick {
        gateway: usize,
    },
    RepeatReleases {
        gateway: usize,
    },
}

impl Event {
    /// Returns the gateway to which it happens.
    pub(super) fn gateway(&self) -> usize {
        match self {
            Self::Ask { to: gateway, .. }
            | Self::Release { to: gateway, .. }
            | Self::Answer { to: gateway, .. }
            | Self::NoAnswer { gateway, .. }
            | Self::WaitEnded { gateway, .. }
            | Self::LedgerTick { gateway }
            | Self::RepeatReleases { gateway } => *gateway,
        }
    }
}

type Requests = Vec<(peer_load::Key, u32)>;

/// Load report of a gateway.
#[derive(Clone, Debug)]
pub struct Report {
    in_flight: Requests,
    held: Requests,
    queued: Requests,
}

impl Gateway {
    /// Returns the gateway's report; `None` if it does not run.
    pub(super) fn report(&mut self) -> Option<Report> {
        self.runs().then(|| Report {
            in_flight: self.dispatcher.in_flight(),
            held: self.dispatcher.held(),
            queued: self.slots.ledger.queued().collect(),
        })
    }

    pub(super) fn receive(&mut self, from: &id::Node, report: Report, mode: Mode, now: Instant) {
        self.dispatcher.set_peer_load(from.clone(), report.in_flight, now);
        if mode == Mode::Off {
            return;
        }
        self.dispatcher.set_peer_held(from.clone(), report.held, now);
        self.dispatcher.set_queued(from.clone(), report.queued, now);
    }
}

impl Simulation {
    pub(super) fn is_lost(&mut self, share: f64) -> bool {
        share > 0.0 && self.random.random_range(0.0..1.0) < share
    }

    /// Asks for the slot that a request needs.
    pub(super) fn ask_for_slot(&mut self, job: Job, chosen: candidate::Candidate, now: Instant) {
        let Some(need) = chosen.slot.clone() else { return };
        let gateway = job.gateway;
        let load = &self.plan.loads[job.load];
        let ask = Ask {
            id: self.gateways[gateway].slots.holder.next_id(),
            upstream: need.upstream,
            urgency: steer::dispatch::urgency::Urgency::of(&load.route, None),
            organisation: load.organisation,
            max_wait: need.max_wait,
            work: need.work,
            time_left: load.route.timeout,
        };
        let owner = self.gateways[gateway].dispatcher.slot_owner(need.upstream);
        let Some(asked) = self.next_node(gateway, owner, false) else {
            self.send_without_slot(job, &chosen, now);
            return;
        };
        let timeout = match self.gateways[asked].region == self.gateways[gateway].region {
            true => NEAR_ANSWER_TIMEOUT,
            false => FAR_ANSWER_TIMEOUT,
        };
        if !self.gateways[gateway].slots.holder.may_ask(&super::node(asked), now) {
            self.send_without_slot(job, &chosen, now);
            return;
        }
        let id = ask.id;
        let pending = Pending { job, chosen, asked, is_queued: false };
        self.gateways[gateway].slots.pending.insert(id, pending);
        self.deliver(
            asked,
            gateway,
            Event::Ask { to: asked, from: gateway, ask, is_forwarded: false },
            now,
        );
        self.schedule(now + timeout, super::Event::Slots(Event::NoAnswer { gateway, id }));
    }

    /// Returns the gateway to which `gateway` passes an ask, itself if it owns the upstream.
    fn next_node(&self, gateway: usize, owner: Option<Owner>, is_forwarded: bool) -> Option<usize> {
        match step(owner, is_forwarded) {
            Step::Serve => Some(gateway),
            Step::SendToNode(node) => (0..self.gateways.len()).find(|n| super::node(*n) == node),
            Step::SendToRegion(region) => self.gateways.iter().position(|g| {
                self.plan.regions[g.region].name == region.as_str() && !g.counts_as_dead
            }),
            Step::Decline => None,
        }
    }

    /// Sends a datagram from one gateway to another; a gateway reaches itself at once.
    fn deliver(&mut self, to: usize, from: usize, event: Event, now: Instant) {
        if to == from {
            self.apply_slots(event, now);
            return;
        }
        if self.is_lost(self.plan.network.lost_datagrams) {
            return;
        }
        let delay = match self.gateways[to].region == self.gateways[from].region {
            true => self.plan.network.near_latency,
            false => self.plan.latency,
        };
        self.schedule(now + delay, super::Event::Slots(event));
    }

    pub(super) fn apply_slots(&mut self, event: Event, now: Instant) {
        match event {
            Event::Ask { to, from, ask, is_forwarded } => {
                self.receive_ask(to, from, ask, is_forwarded, now);
            }
            Event::Release { to, from, id, upstream, is_forwarded } => {
                // A grant of an earlier time may still be known here, whoever the owner is now.
                let owner = self.gateways[to].dispatcher.slot_owner(upstream);
                let next = self.next_node(to, owner, is_forwarded);
                let knows = self.gateways[to].slots.ledger.knows(&super::node(from), id);
                if let Some(next) = next.filter(|next| *next != to && !knows) {
                    let event = Event::Release { to: next, from, id, upstream, is_forwarded: true };
                    self.deliver(next, to, event, now);
                    return;
                }
                let Gateway { dispatcher, slots, .. } = &mut self.gateways[to];
                let room = |key| dispatcher.room(key, now);
                let answers = slots.ledger.release(&super::node(from), id, room, now);
                self.answer(to, answers, now);
            }
            Event::Answer { to, from, answer } => self.receive_answer(to, from, &answer, now),
            Event::NoAnswer { gateway, id } => {
                let is_queued = |pending: &Pending| pending.is_queued;
                let slots = &mut self.gateways[gateway].slots;
                if slots.pending.get(&id).is_none_or(is_queued) {
                    return;
                }
                let Some(pending) = slots.pending.remove(&id) else { return };
                slots.holder.record_timeout(&super::node(pending.asked), now);
                self.withdraw(gateway, id, &pending, now);
                self.send_without_slot(pending.job, &pending.chosen, now);
            }
            Event::WaitEnded { gateway, id } => {
                let pending = self.gateways[gateway].slots.pending.remove(&id);
                if let Some(pending) = pending {
                    self.withdraw(gateway, id, &pending, now);
                    self.refuse(&pending, now);
                }
            }
            Event::RepeatReleases { gateway } => self.repeat_releases(gateway, now),
            Event::LedgerTick { gateway } => self.tick_ledger(gateway, now),
        }
    }

    fn receive_ask(&mut self, to: usize, from: usize, ask: Ask, is_forwarded: bool, now: Instant) {
        if !self.plan.network.knows_slots(to) {
            return;
        }
        let owner = self.gateways[to].dispatcher.slot_owner(ask.upstream);
        let next = self.next_node(to, owner, is_forwarded);
        if let Some(next) = next.filter(|next| *next != to) {
            self.deliver(next, to, Event::Ask { to: next, from, ask, is_forwarded: true }, now);
            return;
        }
        let asking = super::node(from);
        let Gateway { dispatcher, slots, .. } = &mut self.gateways[to];
        let answers = match next {
            Some(_) => {
                let room = dispatcher.room(ask.upstream, now);
                slots.ledger.ask(&asking, &ask, room, now)
            }
            None => {
                let Ask { id, upstream, .. } = ask;
                vec![Answer { to: asking, id, upstream, reply: Reply::Declined }]
            }
        };
        if !slots.is_ticking {
            slots.is_ticking = true;
            self.schedule(
                now + LEDGER_TICK,
                super::Event::Slots(Event::LedgerTick { gateway: to }),
            );
        }
        self.answer(to, answers, now);
    }

    /// Sends answers of an owner, after each of which its queues may have changed.
    fn answer(&mut self, owner: usize, answers: Vec<Answer>, now: Instant) {
        let Gateway { dispatcher, slots, .. } = &mut self.gateways[owner];
        dispatcher.set_own_queued(slots.ledger.queued().collect());
        for answer in answers {
            let to = (0..self.gateways.len()).find(|n| super::node(*n) == answer.to);
            let to = to.expect("it asked");
            self.deliver(to, owner, Event::Answer { to, from: owner, answer }, now);
        }
    }

    fn tick_ledger(&mut self, gateway: usize, now: Instant) {
        let dead: Vec<id::Node> = (0..self.gateways.len())
            .filter(|n| *n != gateway && self.gateways[*n].counts_as_dead)
            .map(super::node)
            .collect();
        let Gateway { dispatcher, slots, .. } = &mut self.gateways[gateway];
        let room = |key| dispatcher.room(key, now);
        let answers = slots.ledger.tick(|node| !dead.contains(node), room, now);
        self.answer(gateway, answers, now);
        self.schedule(now + LEDGER_TICK, super::Event::Slots(Event::LedgerTick { gateway }));
    }

    fn receive_answer(&mut self, to: usize, from: usize, answer: &Answer, now: Instant) {
        let slots = &mut self.gateways[to].slots;
        let Some(mut pending) = slots.pending.remove(&answer.id) else {
            // The request was sent or refused meanwhile.
            if answer.reply == Reply::Granted {
                let (id, upstream) = (answer.id, answer.upstream);
                self.send_release(to, Release { to: super::node(from), id, upstream }, true, now);
            }
            return;
        };
        slots.holder.record_answer(&super::node(pending.asked));
        match answer.reply {
            Reply::Granted => {
                pending.job.slot = Some(Slot { id: answer.id, granted_by: from });
                self.record_outcome(&pending, true);
                self.send(pending.job, &pending.chosen, now);
            }
            Reply::Queued => {
                let max_wait = pending.chosen.slot.as_ref().map_or(Duration::ZERO, |s| s.max_wait);
                let event = Event::WaitEnded { gateway: to, id: answer.id };
                let ends = pending.job.arrived + max_wait + ANSWER_MARGIN;
                pending.is_queued = true;
                self.gateways[to].slots.pending.insert(answer.id, pending);
                self.schedule(ends.max(now), super::Event::Slots(event));
            }
            Reply::Refused { .. } => self.refuse(&pending, now),
            Reply::Declined => self.send_without_slot(pending.job, &pending.chosen, now),
        }
    }

    fn record_outcome(&mut self, pending: &Pending, is_admitted: bool) {
        let route = &self.plan.loads[pending.job.load].route;
        let urgency = steer::dispatch::urgency::Urgency::of(route, None);
        let service = id::Service::new("desk");
        let gateway = &mut self.gateways[pending.job.gateway].dispatcher;
        gateway.record_slot_outcome(&service, urgency, is_admitted);
    }

    fn refuse(&mut self, pending: &Pending, now: Instant) {
        self.record_outcome(pending, false);
        self.tally(&pending.job, now, |tally| tally.refused += 1);
    }

    fn withdraw(&mut self, gateway: usize, id: Id, pending: &Pending, now: Instant) {
        let upstream = peer_load::Key::of(&pending.chosen.entry.id);
        let to = super::node(pending.asked);
        self.send_release(gateway, Release { to, id, upstream }, false, now);
    }

    /// Sends a release, and once more after a while.
    fn send_release(&mut self, from: usize, release: Release, is_forwarded: bool, now: Instant) {
        let to = (0..self.gateways.len()).find(|n| super::node(*n) == release.to);
        let Some(to) = to else { return };
        let (id, upstream) = (release.id, release.upstream);
        let event = Event::Release { to, from, id, upstream, is_forwarded };
        self.deliver(to, from, event, now);
        if to != from {
            self.gateways[from].slots.holder.record_release(release, now);
            let at = now + RELEASE_TICK;
            self.schedule(at, super::Event::Slots(Event::RepeatReleases { gateway: from }));
        }
    }

    fn repeat_releases(&mut self, from: usize, now: Instant) {
        for Release { to, id, upstream } in self.gateways[from].slots.holder.due_releases(now) {
            let to = (0..self.gateways.len()).find(|n| super::node(*n) == to);
            let to = to.expect("it was sent there before");
            let event = Event::Release { to, from, id, upstream, is_forwarded: false };
            self.deliver(to, from, event, now);
        }
    }

    /// Sends a request as without slots, or refuses it.
    fn send_without_slot(&mut self, job: Job, chosen: &candidate::Candidate, now: Instant) {
        let route = &self.plan.loads[job.load].route;
        let service = id::Service::new("desk");
        let left = route.timeout.saturating_sub(now - job.arrived);
        let request = super::ask(route, &service, job.object, left);
        match self.gateways[job.gateway].dispatcher.admit_without_slot(chosen, &request, now) {
            Ok(()) => self.send(job, chosen, now),
            Err(_) => self.tally(&job, now, |tally| tally.refused += 1),
        }
    }

    /// Releases the slot of a request that has ended at its upstream.
    pub(super) fn release(&mut self, upstream: usize, job: &Job, now: Instant) {
        let Some(slot) = &job.slot else { return };
        let entry = &self.upstreams[upstream].entry;
        let key = peer_load::Key::of(&entry.id);
        let gateway = &mut self.gateways[job.gateway];
        // A gateway that restarted meanwhile does not know of the slot.
        if gateway.restarted.is_none_or(|restarted| restarted <= job.sent) {
            gateway.dispatcher.record_released(entry, &slot.owner());
        }
        let release = Release { to: slot.owner(), id: slot.id, upstream: key };
        self.send_release(job.gateway, release, true, now);
    }
}
