//! Promises of one organisation or service at this node.
//!
//! Every request has a draw from 0 to 1 that its repetition shares ([`caller::draw`]). Where draws are
//! required, only small ones are promised room or redeem a promise, so a caller gains nothing by returning
//! without a promise.
//!
//! [`caller::draw`]: crate::dispatch::reservation::caller::draw

use std::net;
use std::time::{Duration, Instant};

use crate::dispatch::quota::rate;
use crate::dispatch::reservation::caller::{Caller, Return, WAIT_RANGE};
use crate::dispatch::urgency;

/// Part of the room that is promised; the rest goes to newcomers.
///
/// The smaller the rest, the less a caller gains by coming again at once, since each request is
/// another chance at the newcomers' room.
const PROMISED_SHARE: f64 = 0.9;

/// Time for which room that was not promised may be promised later.
const CREDIT_TIME: Duration = Duration::from_millis(250);

/// Least number of promises that may be saved up, of which less urgent callers leave one to more
/// urgent ones.
const MIN_CREDIT: f64 = 2.0;

/// The same at a node that makes less than one promise a second. Promises that many such nodes save up
/// may all be redeemed at once, which exceeds a small limit.
const MIN_CREDIT_OF_SLOW: f64 = 1.0;

/// Time for which a caller counts as contending with less urgent ones after it was refused.
const CONTENTION_TIME: Duration = Duration::from_secs(1);

/// Shortest and longest time for which a promise is kept after the caller is due.
///
/// A node with little room has few promises at a time. It keeps them for twice the time between two
/// of them, so that returns from other nodes, which come irregularly, mostly find one. Promises that
/// many nodes keep for longer may all be redeemed at once, which exceeds a small limit. With 1 s, nodes
/// that make one promise a second refuse more than half of the returns that come as told.
const HOLD_RANGE: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));

/// Time between two promises for which each is kept.
const HOLD_INTERVALS: f64 = 2.0;

/// Shortest and longest wait that a caller is told. The longest is the default window in which quotas
/// are counted.
pub(super) const WAIT_LIMITS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(5));

/// Time without refusals after which a surge is over.
const SURGE_GAP: Duration = Duration::from_secs(2);

/// Assumed share of promises that are redeemed, before any ended.
const INITIAL_REDEEMED: f64 = 0.5;

/// Weight of one promise in the share of promises that are redeemed.
const REDEEMED_WEIGHT: f64 = 0.05;

/// Time constant of the rate of promises.
const RATE_TIME: Duration = Duration::from_secs(1);

/// Most promises of one organisation or service, about 80 bytes each.
const MAX_PENDING: usize = 128;

/// Greatest difference between the time left that a caller returns with and the one that is expected
/// of it, if it returns to the node that refused it. Larger differences occur between callers behind
/// one address, which would be taken for each other.
const SAME_CALLER_TOLERANCE: Duration = Duration::from_millis(10);

/// Greatest draw of callers that are promised room, and of those that redeem a promise, in multiples
/// of the admitted requests for each refused one.
///
/// Callers that were promised nothing and come all the same, many times, mostly draw more and redeem
/// nothing. Nodes differ a little in the ratio, so redeeming allows for a little more.
const DRAW_LIMITS: (f64, f64) = (1.0, 1.3);

/// Least share of promises that returns with small draws redeem, with which a small draw is required.
///
/// Where a repetition has other contents, its draw is small by chance only. Counted by promise and not
/// by return, so that callers that come many times have no influence.
const MIN_SMALL_DRAWS: f64 = 0.3;

/// That share before any promise ended.
const INITIAL_SMALL_DRAWS: f64 = 0.7;

/// Least share of small draws among first requests, in multiples of what chance explains, with which a
/// draw is required. Where all requests have the same contents, there may be none.
const MIN_FIRST_DRAWS: f64 = 0.3;

/// Weight of one first request in the share of small draws among them.
const FIRST_DRAW_WEIGHT: f64 = 0.02;

/// Most returns that may be admitted as newcomers one after the other.
const MAX_RETURN_CREDIT: f64 = 4.0;

/// Step of the additive sequence that spreads the waits: multiples of the golden ratio.
const GOLDEN_RATIO_STEP: f64 = 0.618_033_988_749_895;

/// Room that is kept for a caller.
#[derive(Clone, Copy, Debug)]
struct Pending {
    due: Instant,
    lapses_at: Instant,
    promised_at: Instant,
    time_left: Duration,
    address: net::IpAddr,
}

/// Promises of one organisation or service.
#[derive(Clone, Debug)]
pub struct Book {
    pending: Vec<Pending>,
    /// Promises that may be made now.
    credit: f64,
    credited_at: Instant,
    /// Promises per second.
    promised: rate::Rate,
    /// Share of promises that are redeemed.
    redeemed_share: f64,
    /// Most urgent caller refused recently.
    most_urgent: Option<(urgency::Urgency, Instant)>,
    surge_began: Instant,
    refused_at: Instant,
    /// Admitted requests for each refused one at the last refusal.
    admitted_per_refused: f64,
    /// Share of promises that returns with small draws redeem.
    small_draws: f64,
    /// Share of the refused first requests with small draws.
    first_small_draws: f64,
    /// Returns that may be admitted as newcomers.
    return_credit: f64,
    /// Current value of the additive sequence, from 0 to 1.
    spread: f64,
}

impl Book {
    /// Creates a book without promises at the first refusal of a surge.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            pending: Vec::new(),
            credit: 0.0,
            credited_at: now,
            promised: rate::Rate::new(RATE_TIME, now),
            redeemed_share: INITIAL_REDEEMED,
            most_urgent: None,
            surge_began: now,
            refused_at: now,
            admitted_per_refused: 1.0,
            small_draws: INITIAL_SMALL_DRAWS,
            first_small_draws: 0.0,
            return_credit: 0.0,
            spread: 0.0,
        }
    }

    /// Removes the promises whose callers did not come; returns how many.
    pub fn expire(&mut self, now: Instant) -> u64 {
        let before = self.pending.len();
        self.pending.retain(|promise| now < promise.lapses_at);
        let lapsed = before - self.pending.len();
        for _ in 0..lapsed {
            self.redeemed_share -= self.redeemed_share * REDEEMED_WEIGHT;
            self.small_draws -= self.small_draws * REDEEMED_WEIGHT;
        }
        u64::try_from(lapsed).unwrap_or(u64::MAX)
    }

    /// Returns whether the surge is over and nothing is promised any more.
    #[must_use]
    pub fn is_over(&self, now: Instant) -> bool {
        self.pending.is_empty() && now.saturating_duration_since(self.refused_at) >= SURGE_GAP
    }

    /// Returns the number of promises.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the requests per second for which room is kept: the promised ones that are expected
    /// to come.
    #[must_use]
    pub fn reserved(&self, now: Instant) -> f64 {
        self.promised.get(now) * self.redeemed_share
    }

    /// Returns whether a request is a return, and whether it comes as told.
    ///
    /// A caller that returns here is known by its address and deadline. Elsewhere its time left has
    /// to do.
    #[must_use]
    pub fn returned(&self, caller: &Caller, now: Instant) -> Return {
        match self.own(caller, now).map(|index| &self.pending[index]) {
            Some(promise) if now < promise.due => Return::Early,
            Some(_) => Return::AsTold,
            None => match caller.returned() {
                Return::Unknown if self.due_at_address(caller, now).is_some() => Return::AsTold,
                returned => returned,
            },
        }
    }

    /// Redeems a promise for a return that comes as told: its own one, or one that is due here for a
    /// return from another node.
    pub fn redeem(&mut self, caller: &Caller, now: Instant) -> bool {
        let Some(index) = self.redeemable(caller, now) else { return false };
        let is_small = self.is_small(caller);
        self.pending.remove(index);
        self.redeemed_share += (1.0 - self.redeemed_share) * REDEEMED_WEIGHT;
        let is_small = f64::from(u8::from(is_small));
        self.small_draws += (is_small - self.small_draws) * REDEEMED_WEIGHT;
        true
    }

    /// Returns the promise that a request would redeem.
    #[must_use]
    pub fn redeemable(&self, caller: &Caller, now: Instant) -> Option<usize> {
        if self.returned(caller, now) != Return::AsTold {
            return None;
        }
        if !self.is_small(caller) && self.requires_draw() {
            return None;
        }
        self.own(caller, now).or_else(|| match caller.returned() {
            Return::Unknown => self.due_at_address(caller, now),
            _ => self.first_due(now),
        })
    }

    /// Decides whether a return without a promise is admitted beside newcomers, who are admitted at
    /// `ratio`.
    ///
    /// Its draw decides, so that coming again is no further chance, and a caller whose deadline is
    /// shorter than that of others has the same chance as they. Where all draws are the same, the
    /// credit keeps the ratio.
    pub fn admits_return(&mut self, caller: &Caller, ratio: f64) -> bool {
        self.return_credit = (self.return_credit + ratio.max(0.0)).min(MAX_RETURN_CREDIT);
        // Promises go to small draws, so returns without one are admitted by the largest draws.
        let is_admitted = 1.0 - caller.draw < ratio && self.return_credit >= 1.0;
        self.return_credit -= f64::from(u8::from(is_admitted));
        is_admitted
    }

    /// Returns whether a return with the caller's draw may redeem a promise.
    fn is_small(&self, caller: &Caller) -> bool {
        caller.draw < self.admitted_per_refused * DRAW_LIMITS.1
    }

    /// Returns whether returns need a small draw to redeem a promise.
    fn requires_draw(&self) -> bool {
        let by_chance = (self.admitted_per_refused * DRAW_LIMITS.1).min(1.0);
        self.small_draws > MIN_SMALL_DRAWS && self.first_small_draws > by_chance * MIN_FIRST_DRAWS
    }

    /// Records a refusal while `room` requests per second are admitted here, `ratio` of all.
    pub fn record_refusal(&mut self, caller: &Caller, room: f64, ratio: f64, now: Instant) {
        self.admitted_per_refused = ratio / (1.0 - ratio).max(f64::EPSILON);
        if now.saturating_duration_since(self.refused_at) >= SURGE_GAP {
            self.surge_began = now;
        }
        self.refused_at = now;
        let is_most_urgent = self.most_urgent.is_none_or(|(most_urgent, at)| {
            caller.urgency <= most_urgent || now.saturating_duration_since(at) >= CONTENTION_TIME
        });
        if is_most_urgent {
            self.most_urgent = Some((caller.urgency, now));
        }
        let promised_per_second = room * PROMISED_SHARE;
        if matches!(caller.returned(), Return::First | Return::Unknown) {
            let is_small = f64::from(u8::from(self.is_small(caller)));
            self.first_small_draws += (is_small - self.first_small_draws) * FIRST_DRAW_WEIGHT;
        }
        let elapsed = now.saturating_duration_since(self.credited_at).as_secs_f64();
        let least = if promised_per_second < 1.0 { MIN_CREDIT_OF_SLOW } else { MIN_CREDIT };
        let most = (promised_per_second * CREDIT_TIME.as_secs_f64()).max(least);
        self.credit = (self.credit + promised_per_second * elapsed).min(most);
        self.credited_at = now;
    }

    /// Promises room to a refused caller; returns the wait, or `None` if there is no room that the
    /// caller could wait for.
    ///
    /// A return gets no second promise, and a caller that has one already keeps its time.
    pub fn promise(
        &mut self,
        caller: &Caller,
        room: f64,
        resolution: Duration,
        now: Instant,
    ) -> Option<Offer> {
        if let Some(index) = self.own(caller, now) {
            let left = self.pending[index].due.saturating_duration_since(now);
            return (!left.is_zero()).then_some(Offer { wait: left, is_new: false });
        }
        let is_first = matches!(self.returned(caller, now), Return::First | Return::Unknown);
        if !is_first || room <= 0.0 {
            return None;
        }
        let is_most_urgent = self.most_urgent.is_none_or(|(urgency, _)| caller.urgency <= urgency);
        let needed = if is_most_urgent { 1.0 } else { MIN_CREDIT };
        let is_drawn =
            caller.draw < self.admitted_per_refused * DRAW_LIMITS.0 || !self.requires_draw();
        if !is_drawn || self.credit < needed || self.pending.len() >= MAX_PENDING {
            return None;
        }
        // Advanced also if this wait is too long, so that the next caller is offered another one.
        self.spread = (self.spread + GOLDEN_RATIO_STEP).fract();
        let wait = self.wait(caller, resolution)?;
        self.credit -= 1.0;
        self.promised.add(1.0, now);
        let (shortest, longest) = HOLD_RANGE;
        let promises_per_second = self.promised.get(now).min(room * PROMISED_SHARE);
        let intervals = HOLD_INTERVALS / promises_per_second;
        let hold = Duration::try_from_secs_f64(intervals).unwrap_or(longest);
        let due = now + wait;
        self.pending.push(Pending {
            due,
            lapses_at: due + hold.clamp(shortest, longest),
            promised_at: now,
            time_left: caller.time_left,
            address: caller.address,
        });
        Some(Offer { wait, is_new: true })
    }

    /// Returns the time after which the surge is expected to be over, for a caller without a promise:
    /// a surge is expected to last as long again as it has lasted.
    ///
    /// At least the time that the caller waits, since all room until then is promised, unless that is
    /// longer than any caller is told.
    #[must_use]
    pub fn surge_end(&self, caller: &Caller, resolution: Duration, now: Instant) -> Duration {
        let (shortest, longest) = WAIT_LIMITS;
        let age = now.saturating_duration_since(self.surge_began);
        age.max(caller.max_wait() + resolution).clamp(shortest, longest)
    }

    /// Returns the wait of the next promise, the shortest one if that is too long once it is rounded;
    /// `None` if the caller does not wait for so long.
    fn wait(&self, caller: &Caller, resolution: Duration) -> Option<Duration> {
        let (shortest, longest) = WAIT_RANGE;
        let (min, max) = WAIT_LIMITS;
        let spread = shortest + (longest - shortest) * self.spread;
        let waits = [spread, shortest]
            .map(|fraction| round_up(caller.time_left.mul_f64(fraction).max(min), resolution));
        waits.into_iter().find(|wait| *wait <= caller.max_wait() && *wait <= max)
    }

    /// Returns the promise that this node made to the caller itself; one that is due, if several
    /// callers at its address have about the same deadline.
    fn own(&self, caller: &Caller, now: Instant) -> Option<usize> {
        let is_own = |promise: &Pending| {
            let elapsed = now.saturating_duration_since(promise.promised_at);
            let expected = promise.time_left.saturating_sub(elapsed);
            // Other callers at the same address have other deadlines, by the time between their
            // requests at least.
            let tolerance = SAME_CALLER_TOLERANCE.min(elapsed / 2);
            promise.address == caller.address
                && caller.time_left.abs_diff(expected) <= tolerance
                && caller.time_left < promise.time_left
        };
        let mut own = self.pending.iter().enumerate().filter(|(_, promise)| is_own(promise));
        let first = own.next()?;
        let due = std::iter::once(first).chain(own).find(|(_, promise)| promise.due <= now);
        Some(due.unwrap_or(first).0)
    }

    /// Returns the promise of the caller's address that is due first; for callers that state no
    /// deadline.
    fn due_at_address(&self, caller: &Caller, now: Instant) -> Option<usize> {
        self.pending.iter().position(|p| p.address == caller.address && p.due <= now)
    }

    /// Returns the promise that is due first, if it is due.
    fn first_due(&self, now: Instant) -> Option<usize> {
        let due = self.pending.iter().enumerate().filter(|(_, promise)| promise.due <= now);
        due.min_by_key(|(_, promise)| promise.due).map(|(index, _)| index)
    }
}

/// Time that a caller is told with a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Time until it is due.
    pub wait: Duration,
    /// Whether room was reserved for it now, not before.
    pub is_new: bool,
}

/// Rounds up to a multiple of `resolution`.
fn round_up(time: Duration, resolution: Duration) -> Duration {
    let (time, step) = (time.as_micros(), resolution.as_micros().max(1));
    Duration::from_micros(u64::try_from(time.div_ceil(step) * step).unwrap_or(u64::MAX))
}
