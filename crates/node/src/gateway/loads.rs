//! Load reports: datagrams with a node's requests in flight and the usage of organisations.
//!
//! Collects the content of the reports and sends them; [`load_report`] defines their format, and
//! [`steer::dispatch::fleet`] the interval and the receivers. Reports are sent to the active set and to representatives
//! only, since the other nodes of a large region would receive over a hundred per second without using them.

use std::collections;
use std::net;
use std::rc;
use std::time::Instant;

use model::id;
use steer::dispatch::fleet::gossip;
use steer::dispatch::fleet::representatives;
use steer::dispatch::leaving;
use steer::dispatch::quota::forwarder;
use steer::dispatch::region::demand::report;
use steer::dispatch::upstream_limit;
use tokio::net::UdpSocket;

use crate::gateway::load_report;
use crate::gateway::member;
use crate::gateway::metrics;
use crate::gateway::slots;
use crate::gateway::state;

pub use crate::gateway::load_report::{Content, Malformed, encode};

/// First character of the name of a sum of several nodes; node names do not start with it.
const SUM_MARK: &str = "+";

/// Sends load reports until the task ends.
pub async fn send(state: rc::Rc<state::State>, socket: rc::Rc<UdpSocket>) {
    let mut had_any = false;
    let mut sums = Sums::default();
    loop {
        let active = state.members.borrow().active(&state.me.borrow(), Instant::now()).len();
        tokio::time::sleep(gossip::load_report(active.saturating_sub(1))).await;
        let _timer = metrics::Timer::start(&state.metrics.control_micros);
        let own = own(&state, Instant::now());
        // An empty report follows the last one with content, so that its requests do not count any longer.
        if had_any || own != Content::default() {
            report_own(&state, &socket, &own);
        }
        had_any = !own.requests.is_empty() || !own.queued.is_empty();
        forward_sums(&state, &socket, &mut sums);
    }
}

/// Latest sums that this node forwarded.
#[derive(Debug, Default)]
struct Sums {
    for_far: Sum,
    for_rest: Sum,
}

/// Latest forwarded sum of one group of nodes.
#[derive(Debug, Default)]
struct Sum {
    usages: forwarder::Forwarder,
    limits: upstream_limit::Forwarder,
    leavings: leaving::Announcer,
    demand: report::Timer,
}

impl Sum {
    /// Returns the sum of the `wanted` nodes that is due now.
    fn report(
        &mut self,
        state: &state::State,
        wanted: impl Fn(&id::Node) -> bool,
        now: Instant,
    ) -> Content {
        let mut dispatcher = state.dispatcher.borrow_mut();
        Content {
            requests: dispatcher.peer_load(&wanted, now),
            usages: state.quotas.borrow_mut().report_sum(&wanted, &mut self.usages, now),
            limits: dispatcher.limits_mut().report_sum(&wanted, &mut self.limits, now),
            leavings: dispatcher.leavings().report_sum(&wanted, &mut self.leavings, now),
            rollouts: dispatcher.rollouts().report_sum(&wanted),
            demand: dispatcher.peer_demand(&wanted, &mut self.demand, now),
            slow: Vec::new(),
            held: dispatcher.peer_held(&wanted, now),
            queued: dispatcher.queued(&wanted, now),
        }
    }
}

/// Returns the content of this node's own report.
fn own(state: &state::State, now: Instant) -> Content {
    let mut dispatcher = state.dispatcher.borrow_mut();
    Content {
        requests: dispatcher.in_flight(),
        usages: state.quotas.borrow_mut().report(now),
        limits: dispatcher.limits_mut().report(now),
        leavings: dispatcher.leavings_mut().report(now),
        rollouts: dispatcher.rollouts().report(),
        demand: dispatcher.own_demand(now),
        slow: dispatcher.slow_upstreams(now),
        held: dispatcher.held(),
        queued: state.slots.queued(),
    }
}

/// Sends this node's report to the active set and the representatives of its region; a representative also sends it
/// to the representatives of other regions.
fn report_own(state: &state::State, socket: &UdpSocket, own: &Content) {
    let datagrams = encode(&state.me.borrow().node, own);
    let now = Instant::now();
    let members = state.members.borrow();
    let me = state.me.borrow();
    let near = members.active(&me, now).into_iter().chain(members.near_representatives(now));
    let mut addresses: collections::BTreeSet<_> = peers_of(near);
    if members.is_representative(&me.node, now) {
        addresses.extend(peers_of(members.far_representatives(now).into_iter()));
    }
    addresses.remove(&me.peers);
    send_all(state, socket, &datagrams, &addresses);
}

/// Forwards sums, if this node is the first representative: that of the other nodes of its region to the
/// representatives of other regions, and that of other regions to the other active nodes of its region.
fn forward_sums(state: &state::State, socket: &UdpSocket, sums: &mut Sums) {
    let now = Instant::now();
    let members = state.members.borrow();
    let me = state.me.borrow();
    if !members.is_first_representative(&me.node, now) {
        return;
    }
    let rest: Vec<&member::Member> = representatives::rest(members.staying(now));
    if rest.is_empty() {
        return;
    }
    let of_rest = |node: &id::Node| rest.iter().any(|m| m.node.as_str() == origin(node));
    let active = members.active(&me, now);
    let active_rest = rest.iter().copied().filter(|m| active.iter().any(|a| a.node == m.node));
    let far = members.far_representatives(now);
    let is_far = |node: &id::Node| far.iter().any(|m| m.node.as_str() == origin(node));
    let of_far = |node: &id::Node| is_sum(node) || is_far(node);
    let of_rest = sums.for_far.report(state, of_rest, now);
    let of_far = sums.for_rest.report(state, of_far, now);
    let region = me.region.as_str();
    let for_far = id::Node::new(&format!("{SUM_MARK}{region}"));
    let for_far = encode(&for_far, &of_rest);
    let for_rest = id::Node::new(&format!("{SUM_MARK}not-{region}"));
    let for_rest = encode(&for_rest, &of_far);
    send_all(state, socket, &for_far, &peers_of(far.into_iter()));
    send_all(state, socket, &for_rest, &peers_of(active_rest));
}

/// Returns whether `node` is the name of a sum of several nodes.
fn is_sum(node: &id::Node) -> bool {
    node.as_str().starts_with(SUM_MARK)
}

fn peers_of<'a>(
    members: impl Iterator<Item = &'a member::Member>,
) -> collections::BTreeSet<net::SocketAddr> {
    members.map(|member| member.peers).collect()
}

/// Returns the name of the node or sum, without the number of the part.
fn origin(node: &id::Node) -> &str {
    let name = node.as_str();
    name.split_once(load_report::PART_MARK).map_or(name, |(origin, _)| origin)
}

fn send_all(
    state: &state::State,
    socket: &UdpSocket,
    datagrams: &[Vec<u8>],
    addresses: &collections::BTreeSet<net::SocketAddr>,
) {
    for (address, datagram) in addresses.iter().flat_map(|a| datagrams.iter().map(move |d| (a, d)))
    {
        // A send error is treated like a lost datagram: the next report replaces it.
        let _ = socket.try_send_to(datagram, *address);
        state.metrics.control_bytes.add(datagram.len() as u64);
    }
}

/// Applies another node's load report.
///
/// # Errors
///
/// Fails if the report is malformed or its sender is unknown; the next report replaces it.
pub fn receive(state: &rc::Rc<state::State>, datagram: &[u8]) -> Result<(), Malformed> {
    let report = load_report::Report::read(datagram)?;
    let sender = id::Node::new(origin(&report.node));
    if !is_sum(&sender) && !state.members.borrow().is_known(&sender) {
        return Err(Malformed::Unknown(report.node));
    }
    let now = Instant::now();
    let Content { requests, usages, limits, leavings, rollouts, demand, slow, held, queued } =
        report.content;
    state.quotas.borrow_mut().receive(&sender, &usages, now);
    state.receive_limits(&sender, &limits, now);
    state.receive_leavings(&sender, &leavings, now);
    state.receive_rollouts(&report.node, &rollouts);
    let mut dispatcher = state.dispatcher.borrow_mut();
    dispatcher.set_peer_demand(report.node.clone(), demand, now);
    dispatcher.set_peer_slow_upstreams(&slow, now);
    dispatcher.set_peer_held(report.node.clone(), held, now);
    dispatcher.set_queued(report.node.clone(), queued, now);
    dispatcher.set_peer_load(report.node, requests, now);
    drop(dispatcher);
    slots::apply_report(state);
    Ok(())
}
