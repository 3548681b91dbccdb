//! Quarantine reports: datagrams by which nodes report crashes, and which requests are held back, to each other.
//!
//! Owns the task that sends them, and whom it sends them to; [`quarantine_report`] has their form. Relies on
//! [`steer::dispatch::quarantine`] for what is reported. A change goes at once to all nodes of the region, whose
//! representatives forward it to those of other regions; rulings in force are repeated to a few nodes drawn anew each time.

use std::collections;
use std::net;
use std::rc;
use std::time::{Duration, Instant};

use rand::RngExt as _;
use steer::dispatch::quarantine::report::{Report, Source};
use tokio::net::UdpSocket;

use crate::gateway::quarantine_report;
use crate::gateway::state;

pub use crate::gateway::quarantine_report::Malformed;

/// Time between two repetitions of the rulings in force.
const PERIOD: Duration = Duration::from_millis(500);

/// Time in which changes are gathered before they are reported, since many requests show one crash.
const GATHER: Duration = Duration::from_millis(20);

/// Nodes to which the rulings in force are repeated at a time.
const REPEATED_TO: usize = 2;

/// Sends reports, and judges what was recorded, until the task ends.
pub async fn run(state: rc::Rc<state::State>, socket: rc::Rc<UdpSocket>) {
    let mut turn = 0;
    let mut repeated_at = Instant::now();
    loop {
        let until = next(&state, repeated_at);
        tokio::select! {
            () = tokio::time::sleep_until(until.into()) => {}
            () = state.quarantine_changed.notified() => tokio::time::sleep(GATHER).await,
        }
        let now = Instant::now();
        state.judge_crashes(now);
        report_changes(&state, &socket, now);
        if now.saturating_duration_since(repeated_at) >= PERIOD {
            repeated_at = now;
            turn += 1;
            repeat(&state, &socket, turn, now);
        }
    }
}

/// Returns when the task goes on although nothing changes.
fn next(state: &state::State, repeated_at: Instant) -> Instant {
    let repetition = repeated_at + PERIOD;
    state.quarantine.borrow().due().map_or(repetition, |due| due.min(repetition))
}

fn report_changes(state: &state::State, socket: &UdpSocket, now: Instant) {
    let (for_near, for_far) = state.quarantine.borrow_mut().take_reports(now);
    let members = state.members.borrow();
    let me = state.me.borrow();
    let near = members.near(now).map(|member| member.peers);
    send(state, socket, &for_near, near.collect(), now);
    if members.is_representative(&me.node, now) {
        let far = members.far_representatives(now);
        send(state, socket, &for_far, far.iter().map(|member| member.peers).collect(), now);
    }
}

/// Repeats the rulings in force to a few nodes, so that one that started or was cut off learns of them.
fn repeat(state: &state::State, socket: &UdpSocket, turn: usize, now: Instant) {
    let report = state.quarantine.borrow().repeat(turn, now);
    if report.is_empty() {
        return;
    }
    let members = state.members.borrow();
    let alive: Vec<net::SocketAddr> = members.alive(now).map(|member| member.peers).collect();
    if alive.is_empty() {
        return;
    }
    let mut random = rand::rng();
    let drawn = (0..REPEATED_TO).map(|_| alive[random.random_range(0..alive.len())]);
    send(state, socket, &report, drawn.collect(), now);
}

fn send(
    state: &state::State,
    socket: &UdpSocket,
    report: &Report,
    addresses: collections::BTreeSet<net::SocketAddr>,
    now: Instant,
) {
    let datagrams = quarantine_report::encode(&state.me.borrow().node, report, now);
    for (address, datagram) in addresses.iter().flat_map(|a| datagrams.iter().map(move |d| (a, d)))
    {
        // As good as a lost datagram: rulings in force are repeated.
        let _ = socket.try_send_to(datagram, *address);
        state.metrics.control_bytes.add(datagram.len() as u64);
    }
}

/// Applies another node's report.
///
/// # Errors
///
/// Fails when it cannot be read; rulings in force are repeated.
pub fn receive(state: &state::State, datagram: &[u8]) -> Result<(), Malformed> {
    let now = Instant::now();
    let (node, report) = quarantine_report::read(datagram, now)?;
    if !state.members.borrow().is_known(&node) {
        return Err(Malformed::Unknown(node));
    }
    let source = match state.members.borrow().near(now).any(|member| member.node == node) {
        true => Source::Near,
        false => Source::Far,
    };
    state.apply_report(&node, report, source, now);
    Ok(())
}
