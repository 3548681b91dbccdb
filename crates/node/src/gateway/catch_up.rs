//! Fetches changes of the store from other nodes while this node's copy is behind theirs.
//!
//! Owns the exchanges in progress. Relies on [`steer::dispatch::fleet::catch_up`] for when nodes are asked, which
//! ones, and how many at a time.

use std::cell;
use std::collections;
use std::net;
use std::num;
use std::rc;
use std::time::Instant;

use model::id;
use platform::field;
use rand::RngExt as _;
use steer::dispatch::fleet::{catch_up, membership};
use wire::gateway::extract;

use crate::gateway::member;
use crate::gateway::peer;
use crate::gateway::state;
use crate::gateway::state::update;

/// Address of a node that may be asked, and the source that its response counts as.
type Asked = (net::SocketAddr, update::Source);

/// Start times of the exchanges in progress, by the address of the node that is asked.
#[derive(Debug, Default)]
struct Exchanges(cell::RefCell<collections::BTreeMap<net::SocketAddr, Instant>>);

impl Exchanges {
    fn begin(&self, node: net::SocketAddr, now: Instant) {
        self.0.borrow_mut().insert(node, now);
    }

    fn end(&self, node: net::SocketAddr) {
        self.0.borrow_mut().remove(&node);
    }

    fn contains(&self, node: net::SocketAddr) -> bool {
        self.0.borrow().contains_key(&node)
    }

    /// Returns whether another exchange may start.
    fn has_room(&self, now: Instant) -> bool {
        let began = self.0.borrow();
        let latest = began.values().max().map(|began| now.saturating_duration_since(*began));
        catch_up::may_ask(began.len(), latest.unwrap_or_default())
    }
}

/// Fetches changes whenever this node is behind, until the task ends.
pub async fn run(state: rc::Rc<state::State>) {
    let exchanges = rc::Rc::new(Exchanges::default());
    let mut behind_since: Option<Instant> = None;
    loop {
        tokio::select! {
            () = tokio::time::sleep(catch_up::CHECK_PERIOD) => {}
            () = state.behind.notified() => tokio::time::sleep(catch_up::GATHER).await,
        }
        let now = Instant::now();
        if !is_behind(&state, now) {
            behind_since = None;
            continue;
        }
        let since = *behind_since.get_or_insert(now);
        let is_due = catch_up::is_due(standing(&state), now.saturating_duration_since(since));
        if !is_due || !exchanges.has_room(now) {
            continue;
        }
        let sources = sources(&state, &exchanges, now);
        if sources.is_empty() {
            continue;
        }
        // A random one, because the nodes of a region are behind at the same time and would overload a single node.
        let source = sources[rand::rng().random_range(0..sources.len())];
        exchanges.begin(source.0, now);
        let (state, exchanges) = (rc::Rc::clone(&state), rc::Rc::clone(&exchanges));
        tokio::task::spawn_local(async move { fetch(&state, &exchanges, source).await });
    }
}

fn standing(state: &state::State) -> catch_up::Standing {
    catch_up::Standing {
        is_complete: state.replica.borrow().is_complete(),
        is_store_reached: state.is_store_reached() && state.is_watching(),
    }
}

/// Returns whether another node has a newer copy, or this node's copy is incomplete.
fn is_behind(state: &state::State, now: Instant) -> bool {
    let at = state.replica.borrow().at();
    let is_ahead = |m: &member::Member| m.position() > at;
    !state.replica.borrow().is_complete() || state.members.borrow().alive(now).any(is_ahead)
}

/// Returns the nodes that may be asked for changes, except those being asked already.
fn sources(state: &state::State, exchanges: &Exchanges, now: Instant) -> Vec<Asked> {
    let at = state.replica.borrow().at();
    let members = state.members.borrow();
    let me = state.me.borrow();
    let ahead = members.alive(now).filter(|m| m.position() > at && !exchanges.contains(m.peers));
    let (near, far): (Vec<&member::Member>, Vec<&member::Member>) =
        ahead.partition(|m| m.region == me.region);
    let from =
        |members: Vec<&member::Member>, source| members.iter().map(|m| (m.peers, source)).collect();
    match catch_up::sources(near.len(), far.len(), standing(state)) {
        catch_up::Sources::Near => from(near, update::Source::NearPeer),
        catch_up::Sources::Far => from(far, update::Source::FarPeer),
        catch_up::Sources::Seeds => {
            let settings = state.settings.borrow();
            let seeds = settings.seeds.iter().copied();
            let others = seeds.filter(|seed| *seed != me.peers && !exchanges.contains(*seed));
            others.map(|seed| (seed, update::Source::FarPeer)).collect()
        }
    }
}

async fn fetch(state: &state::State, exchanges: &Exchanges, (source, kind): Asked) {
    let began = Instant::now();
    state.metrics.peer_fetches.add(1);
    let after = state.replica.borrow().at();
    let fetched = peer::fetch(source, after).await;
    exchanges.end(source);
    match fetched {
        Ok(extract) if is_foreign(state, &extract) => {
            state.metrics.foreign.add(1);
            let peer = source.to_string();
            log::warn!(peer = peer.as_str(); "extract-of-another-fleet");
        }
        Ok(extract) => {
            let is_newer = extract.page.position() > state.replica.borrow().at();
            if is_newer {
                state.apply(kind, |replica| replica.merge_extract(extract));
            }
        }
        Err(error) => {
            state.metrics.peer_fetches_failed.add(1);
            let (peer, error) = (source.to_string(), format!("{error:#}"));
            let waited_ms = field::whole_millis(began.elapsed());
            log::info!(peer = peer.as_str(), error = error.as_str(), waited_ms; "peer-fetch-failed");
        }
    }
}

fn is_foreign(state: &state::State, extract: &extract::Extract) -> bool {
    let theirs = num::NonZeroU32::new(extract.fleet).map(id::Fleet);
    !membership::is_of(state.fleet(), theirs)
}
