//! Crashes: whether an upstream ended when its connection closed before an answer, and under which requests.
//!
//! Owns the checks that distinguish an upstream that ended from one that lives on: its address
//! refuses a new connection, and this node is not cut off from the others too.
//! [`steer::dispatch::quarantine`] decides what follows.

use std::io;
use std::net;
use std::rc;
use std::sync;
use std::time::{Duration, Instant};

use model::discovery;
use model::fingerprint;
use platform::field;
use steer::dispatch::connectivity::report;
use steer::dispatch::quarantine::sighting;
use tokio::net::TcpStream;

use crate::gateway::connection_check;
use crate::gateway::member;
use crate::gateway::state;

/// Timeout of the check; the address of a running VM refuses a connection within one round trip.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// A request that was sent to an upstream.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The upstream.
    pub upstream: sync::Arc<discovery::Entry>,
    /// The request's id.
    pub request: String,
    /// The request's fingerprint.
    pub fingerprint: fingerprint::Fingerprint,
    /// Time at which it was sent.
    pub at: Instant,
}

/// Checks whether the upstream whose connection was closed has crashed, and records that the
/// request was in flight there.
///
/// Continues if the caller disconnects, because the request may be repeated.
pub async fn check(state: &rc::Rc<state::State>, sent: Sent) {
    let ended = Instant::now();
    let state = rc::Rc::clone(state);
    let checked = tokio::task::spawn_local(async move {
        if !is_refused(sent.upstream.address).await {
            return;
        }
        match is_cut_off(&state, &sent.upstream, ended).await {
            false => record(&state, &sent, ended),
            true => {
                let (upstream, request) = (sent.upstream.id.as_str(), sent.request.as_str());
                log::info!(upstream, request; "crash-not-recorded");
            }
        }
    });
    // Fails only when the process ends, and then the record is lost too.
    let _ = checked.await;
}

/// Returns whether `address` refuses connections, which its VM does if no process listens there.
async fn is_refused(address: net::SocketAddr) -> bool {
    match tokio::time::timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Returns whether this node reaches no other upstream either, since `since`, while another node
/// reaches the service.
///
/// A network may refuse connections in the place of the upstreams, and then every upstream looks crashed.
async fn is_cut_off(state: &state::State, upstream: &discovery::Entry, since: Instant) -> bool {
    let service = [report::Key::of(&upstream.service)];
    let reaches =
        |member: &member::Member| member.is_serving() && member.connectivity.reaches(&service);
    let is_reached_elsewhere = state.members.borrow().staying(Instant::now()).any(reaches);
    let others = |now| {
        let dispatcher = state.dispatcher.borrow();
        dispatcher.others_than(upstream, &mut connection_check::draw, now)
    };
    is_reached_elsewhere && state.others.are_lost(state, since, others).await
}

fn record(state: &state::State, sent: &Sent, ended: Instant) {
    let Sent { upstream, request, fingerprint, at } = sent;
    let text = fingerprint.to_string();
    state.metrics.crashes.add(1);
    log::warn!(
        upstream = upstream.id.as_str(),
        request = request.as_str(),
        fingerprint = text.as_str(),
        sent_ms_ago = field::whole_millis(at.elapsed());
        "upstream-crashed"
    );
    let upstreams = state.dispatcher.borrow().count_working(&upstream.service, ended);
    let crash = sighting::Crash {
        start: sighting::Start::of(upstream),
        service: sighting::Service::of(&upstream.service),
        upstreams: u32::try_from(upstreams).unwrap_or(u32::MAX),
        at: ended,
    };
    let sighting = sighting::Sighting { fingerprint: *fingerprint, crash, sent: *at };
    state.record_crash(sighting);
}
