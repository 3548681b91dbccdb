//! The peers' server: heartbeats, configurations and requests of other nodes.
//!
//! Owns the streams that peers open. Relies on the decisions for heartbeats, on [`runner`] for requests
//! that this node owns the upstream of, and on [`entry`] for those it routes on.

use std::future;
use std::io;
use std::sync;
use std::task;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use futures_util::{StreamExt as _, TryStreamExt as _};
use http::{Method, Response};
use http_body::Frame;
use http_body_util::{BodyExt as _, StreamBody};
use model::id;
use model::revision;
use model::verdict;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tonic::transport::server;
use tonic::{Request, Status, Streaming};
use wire::peer;
use wire::peer::peer_server::{Peer, PeerServer};

use crate::common::accepting;
use crate::common::body;
use crate::common::delivery;
use crate::common::lingering;
use crate::common::sending;
use crate::common::socket;
use crate::owner::callers::entry;
use crate::owner::failed;
use crate::owner::handle;
use crate::owner::in_flight;
use crate::owner::in_flight::phase;
use crate::owner::open;
use crate::owner::peers::connections;
use crate::owner::peers::convert;
use crate::owner::peers::forwarder;
use crate::owner::runner;
use crate::owner::stopping;

/// Parts of an answer that wait to be sent. Not measured.
const PARTS: usize = 8;

/// Largest message: a configuration fits into a value of the store, a megabyte, with room around.
pub const LARGEST_MESSAGE: usize = 4 << 20;

/// Streams one peer may have open. Not measured.
const STREAMS: u32 = 4_096;

/// The peers' server.
#[derive(Clone, Debug)]
pub struct Server {
    /// The decisions.
    pub handle: handle::Handle,
    /// Runs requests at upstreams of this owner.
    pub runner: runner::Runner,
    /// Enters requests whose ticket this node issued.
    pub entry: entry::Entry,
    /// The node's planned stop.
    pub stopping: sync::Arc<stopping::Stopping>,
}

/// Serves peers until `stop` turns true, then ends every connection after what it has in flight: the HTTP library
/// holds the end of an answer until the peer has room for it.
///
/// # Errors
///
/// Fails when the listener does.
pub async fn serve(
    server: Server,
    listener: TcpListener,
    stop: watch::Receiver<bool>,
    connections: open::Connections,
) -> Result<(), tonic::transport::Error> {
    let server = PeerServer::new(server)
        .max_decoding_message_size(LARGEST_MESSAGE)
        .max_encoding_message_size(LARGEST_MESSAGE);
    let accepted = connections.clone();
    let incoming = accepting::Listener::new(listener, stop).connections().map_ok(move |stream| {
        // The server's own setting does not reach connections that it did not accept itself.
        if let Err(error) = stream.set_nodelay(true) {
            socket::log_not_set(&error);
        }
        let addresses = sending::addresses(&stream);
        let stream = lingering::Connection::new(stream, accepted.lingering.clone());
        delivery::Stream::new(stream.with_addresses(addresses), accepted.begin())
    });
    let incoming = incoming.chain(stream::poll_fn(move |_| {
        connections.close();
        task::Poll::Ready(None)
    }));
    tonic::transport::Server::builder()
        .initial_connection_window_size(connections::CONNECTION_WINDOW)
        .initial_stream_window_size(connections::STREAM_WINDOW)
        .max_concurrent_streams(Some(STREAMS))
        .http2_keepalive_interval(Some(socket::PING_EVERY))
        .http2_keepalive_timeout(Some(socket::PING_TIME))
        .add_service(server)
        // The end of the connections that come is the signal to end those that there are.
        .serve_with_incoming_shutdown(incoming, future::pending())
        .await
}

impl server::Connected for delivery::Stream<lingering::Connection<TcpStream>, open::Open> {
    type ConnectInfo = ();

    fn connect_info(&self) -> Self::ConnectInfo {}
}

#[tonic::async_trait]
impl Peer for Server {
    type CarryStream = CarryStream;

    async fn carry(
        &self,
        request: Request<Streaming<peer::Upload>>,
    ) -> Result<tonic::Response<Self::CarryStream>, Status> {
        let (parts, download) = mpsc::channel(PARTS);
        let server = self.clone();
        let tracked = self.stopping.requests.arrive();
        let open = sync::Arc::clone(&tracked);
        tokio::spawn(async move {
            let gone = parts.clone();
            tokio::select! {
                () = server.run(request.into_inner(), &parts, &tracked) => {}
                // The entry gave up; dropping the work cancels it at the upstream.
                () = gone.closed() => {}
            }
        });
        let parts = stream::unfold((download, open), |(mut download, open)| async move {
            let part = download.recv().await;
            if part.is_none() {
                open.deliver();
            }
            part.map(|part| (part, (download, open)))
        });
        Ok(tonic::Response::new(parts.boxed()))
    }

    async fn beat(
        &self,
        request: Request<peer::BeatRequest>,
    ) -> Result<tonic::Response<peer::BeatReply>, Status> {
        let heartbeat = convert::request_in(request.into_inner())
            .ok_or_else(|| Status::invalid_argument("the beat is malformed"))?;
        let reply = self.handle.heartbeat(heartbeat).await;
        let reply = reply.ok_or_else(|| Status::resource_exhausted("the node is busy"))?;
        Ok(tonic::Response::new(convert::reply_out(reply)))
    }

    async fn fetch(
        &self,
        request: Request<peer::FetchRequest>,
    ) -> Result<tonic::Response<peer::FetchReply>, Status> {
        let config = sync::Arc::clone(&self.handle.view().config);
        let is_newer = config.revision() > revision::Revision(request.into_inner().newer_than);
        let document = match is_newer {
            true => config.document.to_vec(),
            false => Vec::new(),
        };
        let reply = peer::FetchReply { revision: config.revision().0, document };
        Ok(tonic::Response::new(reply))
    }
}

impl Server {
    async fn run(
        &self,
        mut upload: Streaming<peer::Upload>,
        parts: &Parts,
        tracked: &sync::Arc<in_flight::Request>,
    ) {
        let first = upload.message().await.ok().flatten().and_then(|upload| upload.part);
        let result = match first {
            Some(peer::upload::Part::Head(head)) => match self.order(&head, tracked) {
                Ok((order, admission)) => {
                    let result = self.run_order(order, &head, upload, parts).await;
                    result.map_err(|failed| admission.restate_failed(failed))
                }
                Err(failed) => Err(failed),
            },
            _ => Err(malformed()),
        };
        let outcome = in_flight::Outcome::of(result.as_ref().map_err(|failed| failed.failure));
        tracked.respond(outcome);
        let relayed = match result {
            Ok(answer) => relay(answer, parts).await,
            Err(failed) => send(parts, peer::download::Part::Failure(failure_out(&failed))).await,
        };
        match relayed {
            Ok(()) => tracked.enter(phase::Phase::Written),
            Err(Unsent::Gone) => {}
            Err(Unsent::BrokeOff) => tracked.break_off(),
        }
    }

    async fn run_order(
        &self,
        order: runner::Order,
        head: &peer::RequestHead,
        upload: Streaming<peer::Upload>,
        parts: &Parts,
    ) -> Result<Response<body::Body>, failed::Failed> {
        match head.duty() {
            peer::Duty::Home => self.run_as_owner(order, upload, parts).await,
            peer::Duty::Region => self.run_in_region(order, upload, parts).await,
            peer::Duty::Ticket => self.run_ticket(order, &head.ticket, upload).await,
            peer::Duty::Unspecified => Err(malformed()),
        }
    }

    async fn run_as_owner(
        &self,
        order: runner::Order,
        upload: Streaming<peer::Upload>,
        parts: &Parts,
    ) -> Result<Response<body::Body>, failed::Failed> {
        let slot = self.runner.reserve(&order).await?;
        let go = peer::Go {
            upstream: slot.upstream.as_str().to_owned(),
            usage: Some(convert::usage_out(slot.usage)),
        };
        // A closed download means that the entry gave up; the whole work is dropped then.
        let _ = send(parts, peer::download::Part::Go(go)).await;
        self.runner.run(slot, &order, upload_body(upload, None)).await
    }

    /// Finds an owner in this region. The body is asked for when the owner wants it.
    async fn run_in_region(
        &self,
        order: runner::Order,
        upload: Streaming<peer::Upload>,
        parts: &Parts,
    ) -> Result<Response<body::Body>, failed::Failed> {
        let body = upload_body(upload, Some(parts.clone()));
        let region = self.handle.view().region.clone();
        let result = self.entry.enter(order, body::Source::Streamed(body), Some(region)).await;
        result.map_err(failed::Failed::before)
    }

    async fn run_ticket(
        &self,
        order: runner::Order,
        ticket: &str,
        upload: Streaming<peer::Upload>,
    ) -> Result<Response<body::Body>, failed::Failed> {
        let kept = upload_body(upload, None).collect().await;
        let kept = kept.map_err(|_| malformed())?.to_bytes();
        let result = self.entry.enter_ticket(order, ticket, kept).await;
        result.map_err(failed::Failed::before)
    }

    fn order(
        &self,
        head: &peer::RequestHead,
        tracked: &sync::Arc<in_flight::Request>,
    ) -> Result<(runner::Order, stopping::Admission), failed::Failed> {
        let view = self.handle.view();
        let service = view.config.snapshot.services.get(head.service.as_str());
        let not_home =
            || failed::Failed::before(verdict::Failure::not_run(verdict::Reason::NotHome));
        let service = service.ok_or_else(not_home)?;
        let method = Method::from_bytes(head.method.as_bytes()).map_err(|_| malformed())?;
        let mut order = runner::Order {
            service: sync::Arc::clone(&service.spec),
            place: id::Place::new(&head.place),
            method,
            path: head.path.clone(),
            headers: forwarder::headers(&head.headers),
            deadline: self.handle.now() + Duration::from_millis(head.remaining_ms),
            avoid: head.avoid.iter().map(|name| id::Upstream::new(name)).collect(),
            may_wait: head.may_wait,
            request: sync::Arc::clone(tracked),
        };
        tracked.describe(&order);
        let admission = self.stopping.admit(&mut order);
        let admission = admission.ok_or_else(|| failed::Failed::before(stopping::refusal()))?;
        Ok((order, admission))
    }
}

/// Stream of the parts of an answer.
type CarryStream = stream::BoxStream<'static, Result<peer::Download, Status>>;

type Parts = mpsc::Sender<Result<peer::Download, Status>>;

/// Why an answer was not sent whole.
enum Unsent {
    /// The entry gave up.
    Gone,
    /// The answer's body broke off.
    BrokeOff,
}

async fn send(parts: &Parts, part: peer::download::Part) -> Result<(), Unsent> {
    parts.send(Ok(peer::Download { part: Some(part) })).await.map_err(|_| Unsent::Gone)
}

/// Sends an answer. One whose body breaks off is left without its end, so that the entry sees it.
async fn relay(answer: Response<body::Body>, parts: &Parts) -> Result<(), Unsent> {
    let (head, mut body) = answer.into_parts();
    let head = peer::ResponseHead {
        status: u32::from(head.status.as_u16()),
        headers: forwarder::header_list(&head.headers),
    };
    send(parts, peer::download::Part::Head(head)).await?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Unsent::BrokeOff)?;
        let Ok(mut data) = frame.into_data() else { continue };
        while !data.is_empty() {
            let part = data.split_to(data.len().min(forwarder::LARGEST_PART)).to_vec();
            send(parts, peer::download::Part::Data(part)).await?;
        }
    }
    send(parts, peer::download::Part::End(peer::End {})).await
}

/// Returns a body as a peer sends it; without its end it fails. When the body is first polled, the
/// peer is asked through `ask` to send it.
fn upload_body(upload: Streaming<peer::Upload>, ask: Option<Parts>) -> body::Body {
    let state = Some((upload, ask));
    let frames = stream::unfold(state, |state| async move {
        let (mut upload, ask) = state?;
        if let Some(parts) = ask {
            // A closed download means that the entry gave up; the body then fails.
            let _ = send(&parts, peer::download::Part::Go(peer::Go::default())).await;
        }
        let part = upload.message().await.ok().flatten().and_then(|upload| upload.part);
        match part {
            Some(peer::upload::Part::Data(data)) => {
                Some((Ok(Frame::data(Bytes::from(data))), Some((upload, None))))
            }
            Some(peer::upload::Part::End(_)) => {
                forwarder::read_to_end(&mut upload).await;
                None
            }
            _ => Some((Err(io::Error::from(io::ErrorKind::UnexpectedEof)), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

fn failure_out(failed: &failed::Failed) -> peer::Failure {
    let verdict = match failed.failure.verdict {
        verdict::Verdict::NotRun => peer::Verdict::NotRun,
        verdict::Verdict::MayHaveRun => peer::Verdict::MayHaveRun,
    };
    let wait = failed.failure.retry_after.unwrap_or_default().as_millis();
    peer::Failure {
        verdict: verdict.into(),
        reason: failed.failure.reason.as_str().to_owned(),
        retry_after_ms: u64::try_from(wait).unwrap_or(u64::MAX),
        upstream: failed.upstream.as_ref().map_or(String::new(), |u| u.as_str().to_owned()),
        usage: failed.usage.map(convert::usage_out),
    }
}

fn malformed() -> failed::Failed {
    failed::Failed::before(verdict::Failure::not_run(verdict::Reason::BadRequest))
}
