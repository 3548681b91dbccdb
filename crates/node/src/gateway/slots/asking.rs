//! The asking side: asks the owner for a slot of a contended upstream and waits for its answer.

use std::rc;
use std::time::{Duration, Instant};

use model::id;
use steer::dispatch::give_up;
use steer::dispatch::slots::holder::{FAR_ANSWER_TIMEOUT, NEAR_ANSWER_TIMEOUT};
use steer::dispatch::slots::message::{self, Reply};
use steer::dispatch::slots::queue::ANSWER_MARGIN;
use steer::dispatch::slots::{self, Need};
use steer::dispatch::urgency;
use tokio::sync::mpsc;

use crate::gateway::slots::datagram;
use crate::gateway::slots::guard::Guard;
use crate::gateway::slots::{Destination, ReceivedAnswer, datagram_of, owning, send};
use crate::gateway::state;

/// A request that needs a slot.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The upstream and the times.
    pub need: &'a Need,
    /// Urgency of the request.
    pub urgency: urgency::Urgency,
    /// Hash of the organisation's name; 0 without an organisation.
    pub organisation: u32,
    /// Deadline of the request.
    pub deadline: Instant,
}

/// Refusal by a slot owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The owner.
    pub owner: id::Node,
    /// Time after which a retry is worthwhile.
    pub retry_after: Duration,
    /// Number of asks that were ahead of it; `None` if the owner did not answer again after it queued the ask.
    pub position: Option<u32>,
}

/// Asks for a slot and waits for it. Returns `None` if the request is to be sent without a slot.
///
/// # Errors
///
/// Fails if the owner refuses the request, or does not grant a queued ask by its maximum wait.
pub async fn hold(
    state: &rc::Rc<state::State>,
    request: Request<'_>,
) -> Result<Option<Guard>, Refused> {
    let asked_at = Instant::now();
    let owner = state.dispatcher.borrow().slot_owner(request.need.upstream);
    let target = owning::target(state, slots::step(owner, false));
    let Some(destination) = target else { return Ok(None) };
    let node = match &destination {
        Destination::Here => state.me.borrow().node.clone(),
        Destination::At(node, _) => node.clone(),
    };
    if !state.slots.holder.borrow().may_ask(&node, asked_at) {
        return Ok(None);
    }
    let (mut guard, mut answers) = ask(state, request, destination, asked_at);
    state.slots.counts.asked.add(1);
    let is_near = request.need.region == state.me.borrow().region;
    let timeout = if is_near { NEAR_ANSWER_TIMEOUT } else { FAR_ANSWER_TIMEOUT };
    let Some(first) = answer_by(&mut answers, asked_at + timeout).await else {
        state.slots.counts.timed_out.add(1);
        state.slots.holder.borrow_mut().record_timeout(&node, Instant::now());
        return Ok(None);
    };
    state.slots.holder.borrow_mut().record_answer(&node);
    guard.destination = first.destination.clone();
    if first.answer.reply != Reply::Queued {
        return end(state, request, guard, &first, asked_at);
    }
    state.slots.counts.queued.add(1);
    // An ask without a bound waits until the request's deadline, which ends the request elsewhere.
    let queued_until = asked_at.checked_add(request.need.max_wait + ANSWER_MARGIN);
    let queued_until = queued_until.unwrap_or(request.deadline).min(request.deadline);
    // A repeated `Queued` changes nothing.
    let mut last = answer_by(&mut answers, queued_until).await;
    while last.as_ref().is_some_and(|last| last.answer.reply == Reply::Queued) {
        last = answer_by(&mut answers, queued_until).await;
    }
    match last {
        Some(last) => end(state, request, guard, &last, asked_at),
        None => {
            state.slots.counts.refused.add(1);
            Err(Refused {
                owner: first.owner,
                retry_after: give_up::RETRY_AFTER_DEFAULT,
                position: None,
            })
        }
    }
}

/// Sends an ask, or applies it where this node is the owner; returns the receiver of its answers.
fn ask(
    state: &rc::Rc<state::State>,
    request: Request<'_>,
    destination: Destination,
    now: Instant,
) -> (Guard, mpsc::UnboundedReceiver<ReceivedAnswer>) {
    let Request { need, urgency, organisation, deadline } = request;
    let id = state.slots.holder.borrow_mut().next_id();
    let (sender, answers) = mpsc::unbounded_channel();
    state.slots.pending.borrow_mut().insert(id, sender);
    let guard = Guard {
        state: rc::Rc::clone(state),
        id,
        upstream: need.upstream,
        destination: destination.clone(),
        is_open: true,
        owner: None,
    };
    let ask = message::Ask {
        id,
        upstream: need.upstream,
        urgency,
        organisation,
        max_wait: need.max_wait,
        work: need.work,
        time_left: deadline.saturating_duration_since(now),
    };
    match destination {
        Destination::Here => {
            let me = state.me.borrow().node.clone();
            owning::ask_here(state, &me, &ask);
        }
        Destination::At(_, address) => {
            let mut datagram = datagram_of(state);
            datagram.asks.push(datagram::Ask { ask, asker: None });
            send(state, address, &datagram);
        }
    }
    (guard, answers)
}

/// Returns the next answer; `None` if there is none by `deadline`.
async fn answer_by(
    answers: &mut mpsc::UnboundedReceiver<ReceivedAnswer>,
    deadline: Instant,
) -> Option<ReceivedAnswer> {
    tokio::time::timeout_at(deadline.into(), answers.recv()).await.ok().flatten()
}

/// Ends the wait with an answer other than `Queued`.
fn end(
    state: &state::State,
    request: Request<'_>,
    mut guard: Guard,
    received: &ReceivedAnswer,
    asked_at: Instant,
) -> Result<Option<Guard>, Refused> {
    let counts = &state.slots.counts;
    match received.answer.reply {
        Reply::Granted => {
            counts.granted.add(1);
            counts.record_held(request.urgency, asked_at.elapsed());
            guard.owner = Some(received.owner.clone());
            Ok(Some(guard))
        }
        Reply::Refused { retry_after, position } => {
            guard.close();
            counts.refused.add(1);
            Err(Refused { owner: received.owner.clone(), retry_after, position: Some(position) })
        }
        Reply::Declined => {
            guard.close();
            counts.declined.add(1);
            Ok(None)
        }
        // Not a final answer; the guard withdraws the ask.
        Reply::Queued => Ok(None),
    }
}
