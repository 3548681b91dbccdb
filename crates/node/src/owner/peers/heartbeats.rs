//! Sends heartbeats and fetches configurations, as the decisions ask.
//!
//! Owns the time limits of both. Relies on [`connections`]. A failed call becomes an event, and the next
//! heartbeat makes up for it.

use std::net;
use std::sync;
use std::time::{Duration, Instant};

use model::id;
use steer::ownership::event;
use steer::ownership::heartbeat;
use tokio::sync::{Semaphore, mpsc};
use wire::peer;

use crate::owner::event_loop::outputs;
use crate::owner::handle;
use crate::owner::peers::connections;
use crate::owner::peers::convert;
use crate::owner::peers::server;

/// Time for an answer to a heartbeat. Not measured; two periods of heartbeats.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for an answer to a fetch. Not measured.
const FETCH_TIME: Duration = Duration::from_secs(3);

/// Calls that may be out at once. Not measured.
const CALLS: usize = 64;

/// Sends what the decisions ask for until their ring closes.
pub async fn run(handle: handle::Handle, mut outgoing: mpsc::Receiver<outputs::Outgoing>) {
    let caller = Caller { handle, connections: connections::Connections::default() };
    let calls = sync::Arc::new(Semaphore::new(CALLS));
    while let Some(next) = outgoing.recv().await {
        let Ok(permit) = sync::Arc::clone(&calls).acquire_owned().await else { return };
        let caller = caller.clone();
        tokio::spawn(async move {
            match next {
                outputs::Outgoing::Heartbeat { to, node, heartbeat, made } => {
                    caller.heartbeat(to, node, *heartbeat, made).await;
                }
                outputs::Outgoing::Fetch { from } => caller.fetch(from).await,
            }
            drop(permit);
        });
    }
}

/// Calls other nodes.
#[derive(Clone)]
struct Caller {
    handle: handle::Handle,
    connections: connections::Connections,
}

impl Caller {
    /// Sends a heartbeat that was made at `made`; `node` is none for a seed.
    async fn heartbeat(
        &self,
        to: net::SocketAddr,
        node: Option<id::Node>,
        heartbeat: heartbeat::Request,
        made: Instant,
    ) {
        // Whatever failed, the node did not answer; the members' suspicion needs no more.
        let call = async {
            let mut client = self.connections.client(to).await.ok()?;
            let reply = client.beat(convert::request_out(heartbeat)).await.ok()?;
            convert::reply_in(reply.into_inner())
        };
        let reply = tokio::time::timeout(HEARTBEAT_TIMEOUT, call).await.ok().flatten();
        let event = match (reply, node) {
            (Some(reply), _) => event::Event::Replied { reply: Box::new(reply), sent: made },
            (None, Some(node)) => {
                self.connections.forget(to);
                event::Event::Unanswered { node }
            }
            (None, None) => return self.connections.forget(to),
        };
        self.handle.send(event);
    }

    /// Fetches a newer configuration.
    async fn fetch(&self, from: net::SocketAddr) {
        let newer_than = self.handle.view().config.revision().0;
        // A failed fetch is repeated with the next heartbeat of a peer that has a newer revision.
        let call = async {
            let client = self.connections.client(from).await.ok()?;
            let mut client = client.max_decoding_message_size(server::LARGEST_MESSAGE);
            let reply = client.fetch(peer::FetchRequest { newer_than }).await.ok()?;
            serde_json::from_slice(&reply.into_inner().document).ok()
        };
        if let Ok(Some(snapshot)) = tokio::time::timeout(FETCH_TIME, call).await {
            self.handle.send(event::Event::Configure { snapshot: sync::Arc::new(snapshot) });
        }
    }
}
