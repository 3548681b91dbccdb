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
    let connections = connections::Connections::default();
    let calls = sync::Arc::new(Semaphore::new(CALLS));
    while let Some(next) = outgoing.recv().await {
        let Ok(permit) = sync::Arc::clone(&calls).acquire_owned().await else { return };
        let (handle, connections) = (handle.clone(), connections.clone());
        tokio::spawn(async move {
            match next {
                outputs::Outgoing::Heartbeat { to, node, heartbeat, made } => {
                    send(&handle, &connections, to, node, *heartbeat, made).await;
                }
                outputs::Outgoing::Fetch { from } => fetch(&handle, &connections, from).await,
            }
            drop(permit);
        });
    }
}

async fn send(
    handle: &handle::Handle,
    connections: &connections::Connections,
    to: net::SocketAddr,
    node: Option<id::Node>,
    heartbeat: heartbeat::Request,
    made: Instant,
) {
    let call = async {
        let mut client = connections.client(to).await.ok()?;
        let reply = client.beat(convert::request_out(heartbeat)).await.ok()?;
        convert::reply_in(reply.into_inner())
    };
    let reply = tokio::time::timeout(HEARTBEAT_TIMEOUT, call).await.ok().flatten();
    let event = match (reply, node) {
        (Some(reply), _) => event::Event::Replied { reply: Box::new(reply), sent: made },
        (None, Some(node)) => {
            connections.forget(to);
            event::Event::Unanswered { node }
        }
        (None, None) => return connections.forget(to),
    };
    handle.send(event);
}

async fn fetch(
    handle: &handle::Handle,
    connections: &connections::Connections,
    from: net::SocketAddr,
) {
    let newer_than = handle.view().config.revision().0;
    let call = async {
        let client = connections.client(from).await.ok()?;
        let mut client = client.max_decoding_message_size(server::LARGEST_MESSAGE);
        let reply = client.fetch(peer::FetchRequest { newer_than }).await.ok()?;
        serde_json::from_slice(&reply.into_inner().document).ok()
    };
    if let Ok(Some(snapshot)) = tokio::time::timeout(FETCH_TIME, call).await {
        handle.send(event::Event::Configure { snapshot: sync::Arc::new(snapshot) });
    }
}
