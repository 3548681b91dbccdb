//! Checks of upstreams by other nodes, where upstreams do not respond to this one.
//!
//! Asks a few live nodes which of the upstreams serve their health checks, and answers such questions.
//! [`steer::dispatch::connectivity::check`] says what the answers show.

use std::cell;
use std::net;
use std::time::{Duration, Instant};

use futures_util::{StreamExt as _, stream};
use steer::dispatch::connectivity::check::{MAX_CHECKS_FOR_PEERS, MAX_PEERS};
use steer::dispatch::peer_load;

use crate::gateway::connection_check;
use crate::gateway::peer;
use crate::gateway::state;

/// Path under which nodes check upstreams for others; the query lists the upstreams' identifiers.
pub const PATH: &str = "/peer/served";

/// Separator of identifiers.
const SEPARATOR: char = ',';

/// Maximum number of upstreams in one question; a sample has fewer.
const MAX_UPSTREAMS: usize = 8;

/// Time for which a check on behalf of another node waits for a slot of its upstream.
const CHECK_TIME: Duration = Duration::from_millis(800);

/// Time in which another node answers: its own check, and the way there and back.
const ANSWER_TIME: Duration = Duration::from_millis(1_000);

/// Asks other nodes which of these upstreams serve their health checks, until one is served by any; `None`
/// if no node replies.
pub async fn ask(
    state: &state::State,
    upstreams: &[peer_load::Key],
) -> Option<Vec<peer_load::Key>> {
    let question = format!("{PATH}?{}", encode(upstreams));
    let peers = peers(state);
    let mut answers: stream::FuturesUnordered<_> =
        peers.iter().map(|peer| peer::get(*peer, &question, ANSWER_TIME)).collect();
    let mut none_served = None;
    while let Some(answer) = answers.next().await {
        let served = answer.ok().and_then(|bytes| decode(std::str::from_utf8(&bytes).ok()?));
        match served {
            Some(served) if served.is_empty() => none_served = Some(served),
            Some(served) => return Some(served),
            // The node did not answer, has too many checks in progress, or is of an earlier version.
            None => {}
        }
    }
    none_served
}

/// Returns the addresses of a few live nodes, drawn at random.
fn peers(state: &state::State) -> Vec<net::SocketAddr> {
    let members = state.members.borrow();
    let mut alive: Vec<net::SocketAddr> = members.alive(Instant::now()).map(|m| m.peers).collect();
    let mut peers = Vec::with_capacity(MAX_PEERS);
    while peers.len() < MAX_PEERS && !alive.is_empty() {
        peers.push(alive.swap_remove(connection_check::draw(alive.len())));
    }
    peers
}

/// Checks the upstreams that `query` lists, and returns those that served the health check; `None` if the
/// query is malformed or too many checks are in progress.
pub async fn answer(state: &state::State, query: &str) -> Option<String> {
    let keys = decode(query).filter(|keys| keys.len() <= MAX_UPSTREAMS)?;
    let _in_progress = InProgress::start(&state.checks_for_peers)?;
    let targets = state.dispatcher.borrow().targets(&keys);
    let served = connection_check::served(&targets, CHECK_TIME).await;
    Some(encode(&served))
}

/// Counts a check as in progress until it is dropped, also when the node that asked no longer waits.
#[derive(Debug)]
struct InProgress<'a>(&'a cell::Cell<u32>);

impl<'a> InProgress<'a> {
    /// Counts a check; `None` if too many are in progress.
    fn start(count: &'a cell::Cell<u32>) -> Option<Self> {
        let has_room = count.get() < MAX_CHECKS_FOR_PEERS;
        has_room.then(|| {
            count.set(count.get() + 1);
            Self(count)
        })
    }
}

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn encode(keys: &[peer_load::Key]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| key.0.to_string()).collect();
    keys.join(&SEPARATOR.to_string())
}

/// Decodes identifiers; `None` if they are malformed.
fn decode(text: &str) -> Option<Vec<peer_load::Key>> {
    if text.is_empty() {
        return Some(Vec::new());
    }
    text.split(SEPARATOR).map(|key| key.parse().ok().map(peer_load::Key)).collect()
}
