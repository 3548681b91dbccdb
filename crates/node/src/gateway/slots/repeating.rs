//! Repetition of releases, since a lost one keeps its slot taken until the lease ends.
//!
//! [`holder`] decides which releases are repeated, and when.
//!
//! [`holder`]: steer::dispatch::slots::holder

use std::collections;
use std::net;
use std::rc;
use std::time::{Duration, Instant};

use model::id;
use steer::dispatch::peer_load;
use steer::dispatch::slots::holder;
use steer::dispatch::slots::message::Id;

use crate::gateway::slots::datagram::{self, Datagram};
use crate::gateway::slots::{datagram_of, send};
use crate::gateway::state;

/// Interval in which releases that are due are repeated.
const TICK: Duration = Duration::from_millis(50);

/// Time for which the task runs after the latest release; longer than the delay of a repetition.
const RUN_TIME: Duration = Duration::from_millis(500);

/// Maximum number of releases in one datagram, about 2 KB.
const MOST_RELEASES: usize = 100;

/// Records that a release was sent to `node`, and starts the task that repeats it unless it runs.
pub(super) fn repeat(
    state: &rc::Rc<state::State>,
    node: &id::Node,
    address: net::SocketAddr,
    id: Id,
    upstream: peer_load::Key,
) {
    let now = Instant::now();
    let release = holder::Release { to: node.clone(), id, upstream };
    state.slots.holder.borrow_mut().record_release(release, now);
    state.slots.released_to.borrow_mut().insert(node.clone(), address);
    if state.slots.repeats_until.replace(Some(now + RUN_TIME)).is_none() {
        tokio::task::spawn_local(run(rc::Rc::clone(state)));
    }
}

/// Repeats releases until none was sent for [`RUN_TIME`].
async fn run(state: rc::Rc<state::State>) {
    let is_due = |until: Instant| Instant::now() < until;
    while state.slots.repeats_until.get().is_some_and(is_due) {
        tokio::time::sleep(TICK).await;
        let due = state.slots.holder.borrow_mut().due_releases(Instant::now());
        let mut by_node: collections::BTreeMap<id::Node, Vec<datagram::Release>> =
            collections::BTreeMap::new();
        for holder::Release { to, id, upstream } in due {
            let release = datagram::Release { id, upstream, asker: None };
            by_node.entry(to).or_default().push(release);
        }
        for (node, releases) in by_node {
            let address = state.slots.released_to.borrow().get(&node).copied();
            let Some(address) = address else { continue };
            for releases in releases.chunks(MOST_RELEASES) {
                let datagram = Datagram { releases: releases.to_vec(), ..datagram_of(&state) };
                send(&state, address, &datagram);
            }
        }
    }
    state.slots.released_to.borrow_mut().clear();
    state.slots.repeats_until.set(None);
}
