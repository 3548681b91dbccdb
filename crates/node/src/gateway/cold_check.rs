//! Checks whether upstreams are warm, while this node's copy of the store may be outdated.
//!
//! Owns the exchanges. [`steer::dispatch::cold_check`] decides when a check is made and what its response means.

use std::rc;
use std::time::Instant;

use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt;
use model::id;
use platform::framing;
use steer::dispatch::cold_check;
use tokio::net::TcpStream;
use tokio::task;

use crate::common::socket;
use crate::gateway::state;

/// Starts a check; the dispatcher records the result.
pub fn spawn_check(state: &rc::Rc<state::State>, target: cold_check::Target) {
    task::spawn_local(check(rc::Rc::clone(state), target, Instant::now()));
}

/// Waits for the result of the check of an upstream that is in progress.
pub async fn wait(state: &state::State, upstream: &id::Upstream) -> cold_check::Verdict {
    let ended = async {
        loop {
            let checked = state.cold_checked.notified();
            match state.dispatcher.borrow().cold_standing(upstream, Instant::now()) {
                cold_check::Standing::Checked(verdict) => return verdict,
                cold_check::Standing::InProgress => {}
                cold_check::Standing::Unknown => return cold_check::Verdict::NotWarm,
            }
            checked.await;
        }
    };
    let ended = tokio::time::timeout(cold_check::CHECK_TIMEOUT, ended).await;
    ended.unwrap_or(cold_check::Verdict::NotWarm)
}

/// Makes a check, and repeats it while slow responses would delay requests.
async fn check(state: rc::Rc<state::State>, target: cold_check::Target, asked_at: Instant) {
    let mut asked_at = asked_at;
    loop {
        let verdict = verdict(&state, &target).await;
        let now = Instant::now();
        let repeat_at =
            state.dispatcher.borrow_mut().end_cold_check(&target.upstream, verdict, asked_at, now);
        state.cold_checked.notify_waiters();
        let Some(repeat_at) = repeat_at else { return };
        tokio::time::sleep_until(repeat_at.into()).await;
        asked_at = Instant::now();
        if !state.dispatcher.borrow_mut().repeat_cold_check(&target.upstream, asked_at) {
            return;
        }
    }
}

/// Makes one check.
async fn verdict(state: &state::State, target: &cold_check::Target) -> cold_check::Verdict {
    state.metrics.cold_checks.add(1);
    match tokio::time::timeout(cold_check::CHECK_TIMEOUT, ask(state, target)).await {
        Ok(Ok(verdict)) => verdict,
        // A failure or a missing response does not show that the upstream is warm.
        Ok(Err(_)) | Err(_) => cold_check::Verdict::NotWarm,
    }
}

/// Requests the health check of an upstream, and returns what its response means.
async fn ask(
    state: &state::State,
    target: &cold_check::Target,
) -> anyhow::Result<cold_check::Verdict> {
    let answer = request(target).await?;
    let health = state.dialect.health(answer.headers(), answer.status());
    Ok(cold_check::Verdict::of(&target.upstream, &health))
}

/// Requests the health check of an upstream on a connection of its own, and returns the response, whose body is not
/// read.
///
/// # Errors
///
/// Fails if the upstream does not respond, or with a broken response.
pub async fn request(target: &cold_check::Target) -> anyhow::Result<Response<Incoming>> {
    let stream = TcpStream::connect(target.address).await?;
    stream.set_nodelay(true)?;
    // With a reset, the upstream releases the connection immediately.
    socket::reset_when_closed(&stream)?;
    let (mut sender, connection) = http1::handshake(rt::TokioIo::new(stream)).await?;
    let request = Request::get(target.path.as_str())
        .header(header::HOST, target.address.to_string())
        .header(header::CONNECTION, "close")
        .body(Empty::<Bytes>::new())?;
    let exchange = sender.send_request(request);
    tokio::pin!(connection);
    tokio::pin!(exchange);
    let mut answer = tokio::select! {
        biased;
        answer = &mut exchange => answer?,
        _ = &mut connection => exchange.await?,
    };
    framing::check(&Method::GET, &mut answer)?;
    Ok(answer)
}
