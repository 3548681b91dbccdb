//! Checks whether upstreams respond, without a request of a caller.
//!
//! Requests the health check of upstreams; the callers decide which upstreams are checked. The first byte is
//! enough: an upstream that is full, draining or failing responds too, and a response of any status shows
//! that it is reached. If upstreams accept connections and do not respond, other nodes are asked
//! ([`peer_check`]). [`check`] says what follows.
//!
//! [`check`]: steer::dispatch::connectivity::check

use std::io;
use std::net;
use std::ops::Range;
use std::time::{Duration, Instant};

use futures_util::{StreamExt as _, future, stream};
use rand::RngExt as _;
use steer::common::framing;
use steer::dispatch::connectivity::check::{self, PeerView, Reply, Verdict};
use steer::dispatch::dispatcher::connectivity::Target;
use steer::dispatch::peer_load;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync;

use crate::common::socket;
use crate::gateway::peer_check;
use crate::gateway::proxy::connection;
use crate::gateway::state;

/// Success statuses.
const SUCCESS: Range<u16> = 200..300;

/// Maximum time of a check of other upstreams, because the request whose upstream refuses connections waits
/// for it before it is repeated.
const OTHERS_TIME: Duration = Duration::from_millis(700);

/// Draws a number below `end`.
pub fn draw(end: usize) -> usize {
    rand::rng().random_range(0..end)
}

/// Determines whether this node reaches any upstream besides one that refuses connections.
///
/// Requests that fail together share one attempt, because a crash or a partition ends many of them at once.
#[derive(Debug, Default)]
pub struct Others {
    /// Start time of the latest attempt, and whether the upstreams are lost.
    latest: sync::Mutex<Option<(Instant, bool)>>,
}

impl Others {
    /// Returns whether a check that began after `since` shows that this node reaches none of the upstreams
    /// that `others` returns. Full upstreams are not lost.
    pub async fn are_lost(
        &self,
        state: &state::State,
        since: Instant,
        others: impl FnOnce(Instant) -> Vec<Target>,
    ) -> bool {
        let mut latest = self.latest.lock().await;
        if let Some((began, are_lost)) = *latest
            && began >= since
        {
            return are_lost;
        }
        let began = Instant::now();
        // Without other upstreams, the refusal is taken for a crash.
        let targets = others(began);
        let verdict = tokio::time::timeout(OTHERS_TIME, run(state, &targets, false)).await;
        let are_lost = verdict == Ok(Verdict::Lost);
        *latest = Some((began, are_lost));
        are_lost
    }
}

/// Checks whether this node reaches any of `targets`, and asks other nodes if they do not respond; `is_lost`
/// states whether their group is lost already.
pub async fn run(state: &state::State, targets: &[Target], is_lost: bool) -> Verdict {
    let probes = probe(targets, connection::CONNECT_TIMEOUT).await;
    let verdict = match is_lost {
        true => check::direct_verdict_of_lost(&probes.replies),
        false => check::direct_verdict(&probes.replies),
    };
    match verdict {
        Some(verdict) => verdict,
        None => ask_peers(state, targets, probes.unanswered).await,
    }
}

/// Asks other nodes whether they are served by upstreams that did not answer this node.
async fn ask_peers(
    state: &state::State,
    targets: &[Target],
    unanswered: Vec<Unanswered>,
) -> Verdict {
    let all = keys(&unanswered);
    let (waiting, closed): (Vec<Unanswered>, Vec<Unanswered>) =
        unanswered.into_iter().partition(|probe| probe.stream.is_some());
    let (waiting_keys, mut closed_keys) = (keys(&waiting), keys(&closed));
    let verdict_with = match waiting.is_empty() {
        true => check::verdict_of_closed_with,
        false => check::verdict_with,
    };
    // The checks go on meanwhile, so that they are ahead of those of other nodes at each upstream.
    let served = tokio::select! {
        biased;
        () = late_response(waiting) => return Verdict::Reached,
        served = peer_check::ask(state, &all) => served,
    };
    let Some(served) = served else { return verdict_with(PeerView::Unknown) };
    closed_keys.retain(|key| served.contains(key));
    let has_overtaken = waiting_keys.iter().any(|key| served.contains(key));
    let peers = match has_overtaken || is_closed_again(targets, &closed_keys).await {
        true => PeerView::Served,
        false => PeerView::NotServed,
    };
    verdict_with(peers)
}

fn keys(probes: &[Unanswered]) -> Vec<peer_load::Key> {
    probes.iter().map(|probe| probe.key).collect()
}

/// Returns whether connections to upstreams that serve another node are closed once more.
///
/// A full upstream resets connections only while its queue is long, and it has just served the other node.
async fn is_closed_again(targets: &[Target], closed: &[peer_load::Key]) -> bool {
    let again: Vec<Target> =
        targets.iter().filter(|target| closed.contains(&target.key)).cloned().collect();
    let probes = probe(&again, connection::CONNECT_TIMEOUT).await;
    let is_closed = |probe: &Unanswered| probe.stream.is_none();
    !again.is_empty()
        && !probes.replies.contains(&Reply::Responded)
        && probes.unanswered.iter().all(is_closed)
}

/// Results of the checks of some upstreams.
#[derive(Debug, Default)]
pub struct Probes {
    /// Reply of each upstream; where one responds, only those that came before.
    pub replies: Vec<Reply>,
    unanswered: Vec<Unanswered>,
}

/// A check that an upstream has not answered in time.
#[derive(Debug)]
struct Unanswered {
    key: peer_load::Key,
    /// The connection; `None` if it was closed.
    stream: Option<TcpStream>,
}

/// Requests the health check of `targets` until one responds. `timeout` applies to opening the connection,
/// and then to the first byte.
pub async fn probe(targets: &[Target], timeout: Duration) -> Probes {
    // Polled within this task and before the timers, so that a connection or a response that arrived
    // while the process was paused counts although the timeout has passed by then.
    let mut checks: stream::FuturesUnordered<_> =
        targets.iter().map(|target| probe_one(target, timeout)).collect();
    let mut probes = Probes::default();
    while let Some((reply, unanswered)) = checks.next().await {
        probes.replies.extend(reply);
        probes.unanswered.extend(unanswered);
        if reply == Some(Reply::Responded) {
            break;
        }
    }
    probes
}

/// Opens a connection to an upstream and waits for the first byte of its health check.
///
/// There is no reply if this node lacks the resources for a connection.
async fn probe_one(target: &Target, timeout: Duration) -> (Option<Reply>, Option<Unanswered>) {
    let unanswered = |stream: Option<TcpStream>| {
        let reply = if stream.is_some() { Reply::Unanswered } else { Reply::Closed };
        (Some(reply), Some(Unanswered { key: target.key, stream }))
    };
    let connect = TcpStream::connect(target.address);
    let mut stream = match tokio::time::timeout(timeout, connect).await {
        Ok(Ok(stream)) => stream,
        // A full upstream resets connections that it has accepted.
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionReset => {
            return unanswered(None);
        }
        Ok(Err(error)) if connection::is_own_shortage(&error) => return (None, None),
        Ok(Err(_)) | Err(_) => return (Some(Reply::NotConnected), None),
    };
    let Some(path) = &target.health_check_path else { return (Some(Reply::Responded), None) };
    let first_byte = request(&mut stream, path, target.address);
    match tokio::time::timeout(timeout, first_byte).await {
        Ok(Ok(())) => (Some(Reply::Responded), None),
        Ok(Err(_)) => unanswered(None),
        Err(_) => unanswered(Some(stream)),
    }
}

/// Sends the request of a health check and waits for the first byte of the response.
async fn request(stream: &mut TcpStream, path: &str, host: net::SocketAddr) -> io::Result<()> {
    send(stream, path, host).await?;
    match stream.read(&mut [0; 1]).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

/// Sends the request of a health check.
///
/// It is a `GET`, as health checks are defined for it; an upstream may take another method for work.
async fn send(stream: &mut TcpStream, path: &str, host: net::SocketAddr) -> io::Result<()> {
    // With a reset, the upstream releases the connection immediately.
    socket::reset_when_closed(stream)?;
    let head = format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await
}

/// Waits until any of the checks that were not answered in time is answered.
async fn late_response(unanswered: Vec<Unanswered>) {
    let streams = unanswered.into_iter().filter_map(|probe| probe.stream);
    let first_byte = |mut stream: TcpStream| {
        Box::pin(async move {
            match stream.read(&mut [0; 1]).await {
                Ok(1..) => {}
                Ok(0) | Err(_) => future::pending().await,
            }
        })
    };
    let checks: Vec<_> = streams.map(first_byte).collect();
    match checks.is_empty() {
        true => future::pending().await,
        false => _ = future::select_all(checks).await,
    }
}

/// Returns which of `targets` serve a health check, for a node that got no response from them.
///
/// A refusal does not count, since a full upstream may refuse this check while the other one waits.
pub async fn served(targets: &[Target], timeout: Duration) -> Vec<peer_load::Key> {
    let checks = targets.iter().map(|target| async move {
        let is_served = tokio::time::timeout(timeout, serves(target)).await;
        matches!(is_served, Ok(Ok(true))).then_some(target.key)
    });
    future::join_all(checks).await.into_iter().flatten().collect()
}

/// Returns whether the health check of an upstream is answered with success.
async fn serves(target: &Target) -> io::Result<bool> {
    let Some(path) = &target.health_check_path else { return Ok(false) };
    let mut stream = TcpStream::connect(target.address).await?;
    send(&mut stream, path, target.address).await?;
    let mut start = [0; framing::STATUS_LINE_BYTES];
    stream.read_exact(&mut start).await?;
    Ok(framing::status(&start).is_some_and(|status| SUCCESS.contains(&status)))
}
