//! Sending heartbeats and fetching configurations, as the decisions ask.

use std::net;
use std::sync;
use std::time::{Duration, Instant};

use model::id;
use steer::ownership::event;
use steer::ownership::heartbeat;
use tokio::sync::{Semaphore, mpsc};
use wire::peer;

use crate::owner::decisions;
use crate::owner::peers::convert;
use crate::owner::peers::face;
use crate::owner::peers::links;

/// Time for an answer to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for an answer to a fetch.
const FETCH_TIME: Duration = Duration::from_secs(3);

/// Calls that may be out at once.
const CALLS: usize = 64;

/// Sends what the decisions ask for until their ring closes.
pub async fn run(decisions: decisions::Handle, mut outgoing: mpsc::Receiver<decisions::Outgoing>) {
    let links = links::Links::default();
    let calls = sync::Arc::new(Semaphore::new(CALLS));
    while let Some(next) = outgoing.recv().await {
        let Ok(permit) = sync::Arc::clone(&calls).acquire_owned().await else { return };
        let (decisions, links) = (decisions.clone(), links.clone());
        tokio::spawn(async move {
            match next {
                decisions::Outgoing::Heartbeat { to, node, heartbeat, made } => {
                    send(&decisions, &links, to, node, *heartbeat, made).await;
                }
                decisions::Outgoing::Fetch { from } => fetch(&decisions, &links, from).await,
            }
            drop(permit);
        });
    }
}

async fn send(
    decisions: &decisions::Handle,
    links: &links::Links,
    to: net::SocketAddr,
    node: Option<id::Node>,
    heartbeat: heartbeat::Request,
    made: Instant,
) {
    let call = async {
        let mut client = links.client(to).await.ok()?;
        let reply = client.beat(convert::request_out(heartbeat)).await.ok()?;
        convert::reply_in(reply.into_inner())
    };
    let reply = tokio::time::timeout(HEARTBEAT_TIMEOUT, call).await.ok().flatten();
    let event = match (reply, node) {
        (Some(reply), _) => event::Event::Replied { reply: Box::new(reply), sent: made },
        (None, Some(node)) => {
            links.forget(to);
            event::Event::Unanswered { node }
        }
        (None, None) => return links.forget(to),
    };
    let _ = decisions.tell(event);
}

async fn fetch(decisions: &decisions::Handle, links: &links::Links, from: net::SocketAddr) {
    let newer_than = decisions.view().config.revision().0;
    let call = async {
        let client = links.client(from).await.ok()?;
        let mut client = client.max_decoding_message_size(face::LARGEST_MESSAGE);
        let reply = client.fetch(peer::FetchRequest { newer_than }).await.ok()?;
        serde_json::from_slice(&reply.into_inner().document).ok()
    };
    if let Ok(Some(snapshot)) = tokio::time::timeout(FETCH_TIME, call).await {
        let _ = decisions.tell(event::Event::Configure { snapshot: sync::Arc::new(snapshot) });
    }
}
