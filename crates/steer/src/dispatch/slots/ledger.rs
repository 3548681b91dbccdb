//! Ledger of a slot owner: which requests hold the slots of its upstreams, and which wait for one.
//!
//! Counts exactly what it granted. Requests that hold no slot of this owner (those of gateways that use
//! no slots, or that a previous owner granted) are known from load reports, as [`Room::others`]. The
//! [`queue`] decides on the order.
//!
//! [`queue`]: crate::dispatch::slots::queue

use std::collections;
use std::time::{Duration, Instant};

use model::id;

use crate::dispatch::admission;
use crate::dispatch::peer_load;
use crate::dispatch::slots::message::{Answer, Ask, Id, Reply};
use crate::dispatch::slots::queue::{Drain, Queue, Waiting};
use crate::dispatch::urgency;

/// Time after a request's deadline at which its grant ends by itself.
///
/// The release is sent at the deadline at the latest; the margin covers its way between regions and the
/// answers that the upstream sends in the last moment.
const LEASE_MARGIN: Duration = Duration::from_millis(250);

/// Time for which the rates of an upstream without held slots and queued asks are kept.
const RETENTION: Duration = Duration::from_secs(10);

/// What an upstream can take, as the owner knows it from load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Requests that the upstream runs at the same time.
    pub slots: u32,
    /// Requests at the upstream that hold no slot of this owner.
    pub others: u32,
}

/// What an owner has decided since it started, and its queues.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Asks received.
    pub asked: u64,
    /// Asks granted.
    pub granted: u64,
    /// Asks that were queued.
    pub queued: u64,
    /// Asks refused when they arrived or at their maximum wait.
    pub refused: u64,
    /// Queued asks refused because of better ones.
    pub displaced: u64,
    /// Grants that ended without a release: their lease ended, or their node died.
    pub lapsed: u64,
    /// Slots held now.
    pub held: u32,
    /// Queues and waits, by urgency.
    pub by_urgency: collections::BTreeMap<urgency::Urgency, UrgencyCounts>,
}

/// Queue and waits of the asks of one urgency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UrgencyCounts {
    /// Asks queued now.
    pub queued: u32,
    /// Asks granted.
    pub granted: u64,
    /// Time that the granted ones waited, in total.
    pub waited: Duration,
}

/// An upstream of the ledger, for the state dump.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The upstream.
    pub key: peer_load::Key,
    /// Slots held.
    pub held: u32,
    /// Asks queued.
    pub queued: u32,
}

/// Weight of one request in the mean time for which slots are held; about ten requests determine
/// most of the value, so that it follows a change within a second.
const HOLD_WEIGHT: f64 = 0.1;

/// A slot that a request holds.
#[derive(Clone, Debug)]
struct Grant {
    upstream: peer_load::Key,
    since: Instant,
    /// End of the lease.
    until: Instant,
}

/// Slots and queue of one upstream.
#[derive(Clone, Debug)]
struct Account {
    held: u32,
    /// Latest number of requests without a slot, and when it last changed.
    others: (u32, Instant),
    /// Mean time for which requests held slots, in seconds; `None` before the first release.
    hold_time: Option<f64>,
    queue: Queue,
    used_at: Instant,
}

impl Account {
    fn new(now: Instant) -> Self {
        Self { held: 0, others: (0, now), hold_time: None, queue: Queue::default(), used_at: now }
    }

    /// Returns whether another request may be sent.
    ///
    /// One above the slots, which the upstream starts next, so that no slot is idle for the duration of
    /// a release and a grant.
    fn has_room(&mut self, room: Room, now: Instant) -> bool {
        let others = self.remaining_others(room.others, now).round();
        f64::from(self.held) + others < f64::from(room.slots) + 1.0
    }

    /// Returns how many of the `others` of the latest load reports are probably still in flight.
    ///
    /// A load report is older than many requests take, and no release tells the end of a request
    /// without a slot. A request that counted until the next report would keep a slot idle.
    fn remaining_others(&mut self, others: u32, now: Instant) -> f64 {
        if self.others.0 != others {
            self.others = (others, now);
        }
        let age = now.saturating_duration_since(self.others.1).as_secs_f64();
        let decay = self.hold_time.map_or(1.0, |time| (-age / time.max(f64::EPSILON)).exp());
        f64::from(others) * decay
    }

    /// Returns how fast queued asks are served; `work` is assumed before the first release.
    ///
    /// While asks are queued, one request more than the slots is at the upstream, each for the time for
    /// which a slot is held. That time is observed, since gateways estimate work too high for objects
    /// that others have requested of the upstream, and asks would be refused that can be in time.
    fn drain(&self, room: Room, work: Duration) -> Drain {
        let slots = f64::from(room.slots.max(1));
        let interval = match self.hold_time {
            Some(time) => time / (slots + 1.0),
            None => work.as_secs_f64() / slots,
        };
        Drain { interval }
    }

    fn record_hold(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        let mean = self.hold_time.get_or_insert(time);
        *mean += (time - *mean) * HOLD_WEIGHT;
    }
}

/// Slots and queues of the upstreams that this node owns.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    accounts: collections::BTreeMap<peer_load::Key, Account>,
    grants: collections::BTreeMap<(id::Node, Id), Grant>,
    /// Upstream and urgency of each queued ask.
    waiting: collections::BTreeMap<(id::Node, Id), (peer_load::Key, urgency::Urgency)>,
    counts: Counts,
}

impl Ledger {
    /// Decides on an ask; `room` is `None` if the upstream is not known or takes no requests.
    ///
    /// Returns the reply, and the replies to queued asks that it displaces or that can be granted now.
    /// A repeated ask is answered as the first one was.
    #[must_use]
    pub fn ask(
        &mut self,
        from: &id::Node,
        ask: &Ask,
        room: Option<Room>,
        now: Instant,
    ) -> Vec<Answer> {
        self.counts.asked += 1;
        let key = (from.clone(), ask.id);
        if self.grants.contains_key(&key) {
            return vec![answer(from, ask, Reply::Granted)];
        }
        if self.waiting.contains_key(&key) {
            return vec![answer(from, ask, Reply::Queued)];
        }
        let Some(room) = room else {
            return vec![answer(from, ask, Reply::Declined)];
        };
        let mut answers = self.grant_queued(ask.upstream, room, now);
        let account = self.accounts.entry(ask.upstream).or_insert_with(|| Account::new(now));
        let waiting = Waiting { from: from.clone(), ask: ask.clone(), since: now };
        if account.has_room(room, now) {
            answers.push(self.grant(&waiting, now));
            return answers;
        }
        account.used_at = now;
        let drain = account.drain(room, ask.work);
        match account.queue.push(waiting, drain, now) {
            Ok(displaced) => {
                self.waiting.insert(key, (ask.upstream, ask.urgency));
                self.counts.queued += 1;
                answers.push(answer(from, ask, Reply::Queued));
                for (waiting, rejection) in displaced {
                    self.counts.displaced += 1;
                    answers.push(self.refuse(&waiting, rejection.position, rejection.lateness));
                }
            }
            Err(rejection) => {
                self.counts.refused += 1;
                account.queue.record(ask.urgency, false);
                answers.push(answer(from, ask, refused(rejection.position, rejection.lateness)));
            }
        }
        answers
    }

    /// Ends a grant or withdraws an ask; returns the grants that follow.
    #[must_use]
    pub fn release(
        &mut self,
        from: &id::Node,
        id: Id,
        room: impl Fn(peer_load::Key) -> Option<Room>,
        now: Instant,
    ) -> Vec<Answer> {
        let key = (from.clone(), id);
        let upstream = if let Some(grant) = self.end_grant(&key, now) {
            if let Some(account) = self.accounts.get_mut(&grant.upstream) {
                account.record_hold(now.saturating_duration_since(grant.since));
            }
            grant.upstream
        } else if let Some((upstream, urgency)) = self.waiting.remove(&key) {
            if let Some(account) = self.accounts.get_mut(&upstream) {
                account.queue.remove(from, id, urgency);
            }
            upstream
        } else {
            return Vec::new();
        };
        match room(upstream) {
            Some(room) => self.grant_queued(upstream, room, now),
            None => Vec::new(),
        }
    }

    /// Ends expired grants and asks and those of dead nodes, and grants what there is room for.
    ///
    /// `is_alive` must select this node itself. Asks for upstreams without `room` are declined.
    #[must_use]
    pub fn tick(
        &mut self,
        is_alive: impl Fn(&id::Node) -> bool,
        room: impl Fn(peer_load::Key) -> Option<Room>,
        now: Instant,
    ) -> Vec<Answer> {
        let has_ended =
            |(node, _): &(id::Node, Id), grant: &Grant| now >= grant.until || !is_alive(node);
        let grants = self.grants.iter().filter(|(key, grant)| has_ended(key, grant));
        let ended: Vec<(id::Node, Id)> = grants.map(|(key, _)| key.clone()).collect();
        self.counts.lapsed += ended.len() as u64;
        for key in &ended {
            self.end_grant(key, now);
        }
        let mut answers = Vec::new();
        let has_queue = |(_, account): &(&peer_load::Key, &Account)| !account.queue.is_empty();
        let queued: Vec<peer_load::Key> =
            self.accounts.iter().filter(has_queue).map(|(key, _)| *key).collect();
        for key in queued {
            match room(key) {
                Some(room) => {
                    answers.extend(self.expire(key, room, |waiting| !is_alive(&waiting.from)));
                    answers.extend(self.grant_queued(key, room, now));
                }
                None => answers.extend(self.decline_queued(key)),
            }
        }
        self.accounts.retain(|_, account| {
            let is_used = account.held > 0 || !account.queue.is_empty();
            is_used || now.saturating_duration_since(account.used_at) < RETENTION
        });
        answers
    }

    /// Returns whether an ask is granted or queued here; its release is then not forwarded, also where
    /// another node owns the upstream by now.
    #[must_use]
    pub fn knows(&self, from: &id::Node, id: Id) -> bool {
        let key = (from.clone(), id);
        self.grants.contains_key(&key) || self.waiting.contains_key(&key)
    }

    /// Returns the number of queued asks, by upstream.
    pub fn queued(&self) -> impl Iterator<Item = (peer_load::Key, u32)> {
        self.upstreams().filter(|u| u.queued > 0).map(|u| (u.key, u.queued))
    }

    /// Returns the number of slots held at an upstream.
    #[must_use]
    pub fn held(&self, upstream: peer_load::Key) -> u32 {
        self.accounts.get(&upstream).map_or(0, |account| account.held)
    }

    /// Returns the upstreams that were asked for lately.
    pub fn upstreams(&self) -> impl Iterator<Item = Upstream> {
        self.accounts.iter().map(|(key, account)| Upstream {
            key: *key,
            held: account.held,
            queued: u32::try_from(account.queue.len()).unwrap_or(u32::MAX),
        })
    }

    /// Returns what was decided since the start, and the queues.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let mut counts = self.counts.clone();
        counts.held = u32::try_from(self.grants.len()).unwrap_or(u32::MAX);
        for (_, urgency) in self.waiting.values() {
            counts.by_urgency.entry(*urgency).or_default().queued += 1;
        }
        counts
    }

    /// Returns the time of the next expiry, for the owner's timer.
    #[must_use]
    pub fn next_event(&self) -> Option<Instant> {
        let leases = self.grants.values().map(|grant| grant.until);
        let queued = self.accounts.values().flat_map(|account| account.queue.iter());
        leases.chain(queued.map(Waiting::expires)).min()
    }

    /// Refuses the asks of a queue that have waited too long, and grants those at its front while there
    /// is room.
    ///
    /// Callers of asks that have waited too long have been refused, also where no tick came meanwhile.
    fn grant_queued(&mut self, upstream: peer_load::Key, room: Room, now: Instant) -> Vec<Answer> {
        let mut answers = self.expire(upstream, room, |waiting| now >= waiting.expires());
        while let Some(account) = self.accounts.get_mut(&upstream) {
            if !account.has_room(room, now) {
                break;
            }
            let Some(waiting) = account.queue.pop() else { break };
            self.waiting.remove(&(waiting.from.clone(), waiting.ask.id));
            answers.push(self.grant(&waiting, now));
        }
        answers
    }

    fn grant(&mut self, waiting: &Waiting, now: Instant) -> Answer {
        let ask = &waiting.ask;
        let account = self.accounts.entry(ask.upstream).or_insert_with(|| Account::new(now));
        account.held += 1;
        account.used_at = now;
        account.queue.record(ask.urgency, true);
        let until = waiting.since + ask.time_left + LEASE_MARGIN;
        let grant = Grant { upstream: ask.upstream, since: now, until };
        self.grants.insert((waiting.from.clone(), ask.id), grant);
        self.counts.granted += 1;
        let of_urgency = self.counts.by_urgency.entry(ask.urgency).or_default();
        of_urgency.granted += 1;
        of_urgency.waited += now.saturating_duration_since(waiting.since);
        answer(&waiting.from, ask, Reply::Granted)
    }

    fn end_grant(&mut self, key: &(id::Node, Id), now: Instant) -> Option<Grant> {
        let grant = self.grants.remove(key)?;
        if let Some(account) = self.accounts.get_mut(&grant.upstream) {
            account.held = account.held.saturating_sub(1);
            account.used_at = now;
        }
        Some(grant)
    }

    /// Refuses the asks of a queue that `has_ended` selects.
    fn expire(
        &mut self,
        upstream: peer_load::Key,
        room: Room,
        has_ended: impl Fn(&Waiting) -> bool,
    ) -> Vec<Answer> {
        let Some(account) = self.accounts.get_mut(&upstream) else { return Vec::new() };
        let ended = account.queue.remove_all(has_ended);
        let drain = account.drain(room, Duration::ZERO);
        let refuse = |(waiting, position): (Waiting, u32)| {
            self.counts.refused += 1;
            self.refuse(&waiting, position, Duration::from_secs_f64(drain.wait(position)))
        };
        ended.into_iter().map(refuse).collect()
    }

    fn decline_queued(&mut self, upstream: peer_load::Key) -> Vec<Answer> {
        let Some(account) = self.accounts.get_mut(&upstream) else { return Vec::new() };
        let ended = account.queue.remove_all(|_| true);
        let decline = |(waiting, _): (Waiting, u32)| {
            self.waiting.remove(&(waiting.from.clone(), waiting.ask.id));
            answer(&waiting.from, &waiting.ask, Reply::Declined)
        };
        ended.into_iter().map(decline).collect()
    }

    /// Refuses an ask that has been removed from its queue.
    fn refuse(&mut self, waiting: &Waiting, position: u32, lateness: Duration) -> Answer {
        self.waiting.remove(&(waiting.from.clone(), waiting.ask.id));
        if let Some(account) = self.accounts.get_mut(&waiting.ask.upstream) {
            account.queue.record(waiting.ask.urgency, false);
        }
        answer(&waiting.from, &waiting.ask, refused(position, lateness))
    }
}

fn refused(position: u32, lateness: Duration) -> Reply {
    Reply::Refused { retry_after: admission::retry_after(lateness.as_secs_f64()), position }
}

fn answer(to: &id::Node, ask: &Ask, reply: Reply) -> Answer {
    Answer { to: to.clone(), id: ask.id, upstream: ask.upstream, reply }
}
