//! Forwards a request to its owner on another node, and its answer to the caller.
//!
//! Owns the exchange's deadline and the verdict of one that broke. Relies on [`connections`].

use std::io;
use std::net;
use std::pin::Pin;
use std::sync;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{StreamExt as _, stream};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode, header};
use http_body::Frame;
use http_body_util::BodyExt as _;
use model::id;
use model::verdict;
use steer::ownership::heartbeat;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use wire::peer;

use crate::common::body;
use crate::owner::failed;
use crate::owner::in_flight;
use crate::owner::in_flight::phase;
use crate::owner::peers::connections;
use crate::owner::peers::convert;

/// Parts of a body that wait to be sent. Not measured.
const PARTS: usize = 8;

/// Largest part of a body in one message, in bytes. Not measured.
pub const LARGEST_PART: usize = 256 * 1_024;

/// Time beyond a request's deadline in which its owner's own verdict may still arrive. Not
/// measured; the grace of a cancellation.
const VERDICT_GRACE: Duration = Duration::from_millis(250);

/// Forwards requests to other nodes.
#[derive(Clone, Debug, Default)]
pub struct Forwarder {
    connections: connections::Connections,
}

impl Forwarder {
    /// Forwards a request to the node at `address`.
    ///
    /// A buffered body is sent at once; a streamed one when the owner has a slot, so that it can still
    /// be sent elsewhere when there is none. `request` learns the upstream that the owner chose, and `report` is
    /// called with the owner's usage.
    ///
    /// # Errors
    ///
    /// Fails with the verdict of the other node, or one about the connection.
    pub async fn forward(
        &self,
        address: net::SocketAddr,
        head: peer::RequestHead,
        source: &mut body::Source,
        request: &in_flight::Request,
        report: impl Fn(heartbeat::Usage),
    ) -> Result<Response<body::Body>, failed::Failed> {
        request.enter(phase::Phase::Forwarded);
        let left = Duration::from_millis(head.remaining_ms) + VERDICT_GRACE;
        let exchange = self.exchange(address, head, source, request, report);
        match tokio::time::timeout(left, exchange).await {
            Ok(result) => result,
            Err(_) => Err(failed::Failed::before(verdict::Failure::may_have_run(
                verdict::Reason::Deadline,
            ))),
        }
    }

    async fn exchange(
        &self,
        address: net::SocketAddr,
        head: peer::RequestHead,
        source: &mut body::Source,
        request: &in_flight::Request,
        report: impl Fn(heartbeat::Usage),
    ) -> Result<Response<body::Body>, failed::Failed> {
        let kept = buffered(source);
        let is_head = head.method == Method::HEAD.as_str();
        let (mut parts, mut download) = self.open(address, head, kept).await?;
        let mut upstream = None;
        loop {
            let message =
                download.message().await.inspect_err(|status| log_broken(address, status));
            let part = message.ok().flatten().and_then(|download| download.part);
            match part {
                Some(peer::download::Part::Go(go)) => {
                    upstream = name_of(&go.upstream).or(upstream);
                    if let Some(upstream) = &upstream {
                        request.name_upstream(upstream);
                    }
                    if let Some(usage) = go.usage {
                        report(convert::usage_in(usage));
                    }
                    if let Some(parts) = parts.take() {
                        tokio::spawn(send_body(source.take(), parts));
                    }
                }
                Some(peer::download::Part::Head(head)) => {
                    return answer(head, download, is_head).await;
                }
                Some(peer::download::Part::Failure(failure)) => {
                    if let Some(usage) = failure.usage {
                        report(convert::usage_in(usage));
                    }
                    read_to_end(&mut download).await;
                    return Err(failure_of(&failure));
                }
                Some(peer::download::Part::Data(_) | peer::download::Part::End(_)) | None => {
                    return Err(broken(upstream));
                }
            }
        }
    }

    /// Starts an exchange. Returns the upload, unless the buffered body `kept` is
    /// sent with the head, and the download.
    async fn open(
        &self,
        address: net::SocketAddr,
        head: peer::RequestHead,
        kept: Option<Bytes>,
    ) -> Result<(Option<Upload>, tonic::Streaming<peer::Download>), failed::Failed> {
        let Ok(mut client) = self.connections.client(address).await else {
            return Err(unreached());
        };
        let (parts, upload) = mpsc::channel(PARTS);
        let is_kept = kept.is_some();
        send_first(&parts, head, kept).await;
        // A buffered body ends here, so that the upload is closed cleanly and not reset afterwards.
        let parts = (!is_kept).then_some(parts);
        match client.carry(ReceiverStream::new(upload)).await {
            Ok(answer) => Ok((parts, answer.into_inner())),
            Err(status) if connections::was_never_sent(&status) => {
                self.connections.forget(address);
                Err(unreached())
            }
            Err(status) => {
                log_broken(address, &status);
                Err(broken(None))
            }
        }
    }
}

fn buffered(source: &body::Source) -> Option<Bytes> {
    match source {
        body::Source::Kept(bytes) => Some(bytes.clone()),
        body::Source::Streamed(_) | body::Source::Spent => None,
    }
}

/// The upload of an exchange.
type Upload = mpsc::Sender<peer::Upload>;

fn log_broken(address: net::SocketAddr, status: &tonic::Status) {
    let (peer, error) = (address.to_string(), status.to_string());
    log::warn!(peer = peer.as_str(), error = error.as_str(); "peer-broke-off");
}

/// Sends the head, and the body when it is buffered.
async fn send_first(
    parts: &mpsc::Sender<peer::Upload>,
    head: peer::RequestHead,
    kept: Option<Bytes>,
) {
    let mut first = vec![peer::upload::Part::Head(head)];
    if let Some(bytes) = kept {
        if !bytes.is_empty() {
            first.push(peer::upload::Part::Data(bytes.to_vec()));
        }
        first.push(peer::upload::Part::End(peer::End {}));
    }
    for part in first {
        // Three parts at most, and the channel holds more; a closed one shows in the exchange.
        let _ = parts.send(peer::Upload { part: Some(part) }).await;
    }
}

/// Sends a streamed body. One that breaks off is sent without its end, so that the owner notices.
async fn send_body(mut body: body::Body, parts: mpsc::Sender<peer::Upload>) {
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return };
        let Ok(mut data) = frame.into_data() else { continue };
        while !data.is_empty() {
            let part = data.split_to(data.len().min(LARGEST_PART));
            let part = peer::upload::Part::Data(part.to_vec());
            if parts.send(peer::Upload { part: Some(part) }).await.is_err() {
                return;
            }
        }
    }
    let end = peer::upload::Part::End(peer::End {});
    // A closed upload shows in the exchange.
    let _ = parts.send(peer::Upload { part: Some(end) }).await;
}

async fn answer(
    head: peer::ResponseHead,
    download: tonic::Streaming<peer::Download>,
    is_head: bool,
) -> Result<Response<body::Body>, failed::Failed> {
    let status = u16::try_from(head.status).ok().and_then(|s| StatusCode::from_u16(s).ok());
    let Some(status) = status else { return Err(broken(None)) };
    let headers = headers(&head.headers);
    let length = headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    let is_empty = is_head || has_no_body(status) || length == Some(0);
    let answer = match is_empty {
        true => Answer::read_empty(download).await,
        false => Answer::new(download, length),
    };
    let mut response = Response::new(answer.boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(response)
}

/// Returns whether an answer with this status never has a body (RFC 9110, sections 15.3.5 and 15.4.5).
fn has_no_body(status: StatusCode) -> bool {
    matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Body of an answer that another node passes on.
///
/// The HTTP library drops a body once its length has been written, unless the body says by then that it has ended.
/// Therefore its end is read before its last piece is passed on, so that the answer counts as delivered and the
/// stream is not reset.
struct Answer {
    frames: stream::BoxStream<'static, io::Result<Frame<Bytes>>>,
    is_ended: sync::Arc<AtomicBool>,
}

impl Answer {
    /// Reads the end of an answer without a body.
    async fn read_empty(mut download: tonic::Streaming<peer::Download>) -> Self {
        // Without its end the answer is whole all the same.
        let _ = next_piece(&mut download).await;
        Self { frames: stream::empty().boxed(), is_ended: sync::Arc::new(AtomicBool::new(true)) }
    }

    /// Reads an answer whose head says that its body has this `length`.
    fn new(download: tonic::Streaming<peer::Download>, length: Option<u64>) -> Self {
        let is_ended = sync::Arc::new(AtomicBool::new(false));
        let ended = sync::Arc::clone(&is_ended);
        let frames = stream::unfold(Some((download, length)), move |state| {
            let ended = sync::Arc::clone(&ended);
            async move {
                let (mut download, left) = state?;
                let Some(data) = next_piece(&mut download).await.transpose() else {
                    ended.store(true, Ordering::Release);
                    return None;
                };
                let Ok(data) = data else { return Some((Err(cut_off()), None)) };
                let left = left.map(|left| left.saturating_sub(data.len() as u64));
                if left != Some(0) {
                    return Some((Ok(Frame::data(data)), Some((download, left))));
                }
                // What follows changes nothing, since the answer is whole by its length.
                let _ = next_piece(&mut download).await;
                ended.store(true, Ordering::Release);
                Some((Ok(Frame::data(data)), None))
            }
        });
        Self { frames: frames.boxed(), is_ended }
    }
}

impl http_body::Body for Answer {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<Frame<Bytes>>>> {
        self.frames.poll_next_unpin(context)
    }

    fn is_end_stream(&self) -> bool {
        self.is_ended.load(Ordering::Acquire)
    }
}

/// Returns the next piece of an answer, and `None` at its end, after which nothing is left of the stream.
async fn next_piece(download: &mut tonic::Streaming<peer::Download>) -> io::Result<Option<Bytes>> {
    let part = download.message().await.ok().flatten().and_then(|download| download.part);
    match part {
        Some(peer::download::Part::Data(data)) => Ok(Some(Bytes::from(data))),
        Some(peer::download::Part::End(_)) => {
            read_to_end(download).await;
            Ok(None)
        }
        _ => Err(cut_off()),
    }
}

fn cut_off() -> io::Error {
    io::Error::from(io::ErrorKind::UnexpectedEof)
}

/// Reads what HTTP/2 sends after the last message.
///
/// A stream that is dropped before is reset, and a connection on which many streams are reset is
/// closed by the other side, with every request on it.
pub async fn read_to_end<T>(stream: &mut tonic::Streaming<T>) {
    while let Ok(Some(_)) = stream.message().await {}
}

/// Returns headers as a map; malformed ones, which no HTTP library could have sent, are left out.
#[must_use]
pub fn headers(list: &[peer::Header]) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(list.len());
    for header in list {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
    map
}

/// Returns headers as messages carry them.
#[must_use]
pub fn header_list(map: &HeaderMap) -> Vec<peer::Header> {
    let pair = |(name, value): (&HeaderName, &HeaderValue)| peer::Header {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    };
    map.iter().map(pair).collect()
}

/// Returns the milliseconds left until `deadline`.
#[must_use]
pub fn remaining_ms(deadline: Instant, now: Instant) -> u64 {
    u64::try_from(deadline.saturating_duration_since(now).as_millis()).unwrap_or(u64::MAX)
}

fn failure_of(failure: &peer::Failure) -> failed::Failed {
    let verdict = match failure.verdict() {
        peer::Verdict::NotRun => verdict::Verdict::NotRun,
        peer::Verdict::MayHaveRun | peer::Verdict::Unspecified => verdict::Verdict::MayHaveRun,
    };
    let wait = Some(failure.retry_after_ms).filter(|ms| *ms > 0).map(Duration::from_millis);
    let reason = verdict::Reason::parse(&failure.reason);
    failed::Failed {
        failure: verdict::Failure { verdict, reason, retry_after: wait },
        upstream: name_of(&failure.upstream),
        usage: failure.usage.map(convert::usage_in),
    }
}

fn name_of(text: &str) -> Option<id::Upstream> {
    (!text.is_empty()).then(|| id::Upstream::new(text))
}

fn unreached() -> failed::Failed {
    failed::Failed::before(verdict::Failure::not_run(verdict::Reason::NotReady))
}

fn broken(upstream: Option<id::Upstream>) -> failed::Failed {
    let failure = verdict::Failure::may_have_run(verdict::Reason::Broken);
    failed::Failed { upstream, ..failed::Failed::before(failure) }
}
