//! Servers of short answers: readiness, look-ups, and what nodes and operators ask.
//!
//! Owns the connections of these addresses; [`control`] and [`directory`] make the answers.

use std::convert;
use std::pin;
use std::rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt;
use platform::directory as names;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task;

use crate::common::accepting;
use crate::common::closing;
use crate::common::lingering;
use crate::common::sending;
use crate::common::socket;
use crate::gateway::control;
use crate::gateway::directory;
use crate::gateway::peer_check;
use crate::gateway::state;

/// Longest time a connection may rest or take to send a head.
const HEAD_TIME: Duration = Duration::from_secs(30);

/// Serves short answers until `close` turns true, and then what is on its way; returns once its clients have closed.
pub async fn serve(
    state: rc::Rc<state::State>,
    listener: TcpListener,
    close: watch::Receiver<bool>,
) {
    let server = Server { state, close: close.clone(), lingering: lingering::Group::default() };
    let mut listener = accepting::Listener::new(listener, close);
    let mut connections = task::JoinSet::new();
    while let Some(accepted) = listener.next().await {
        match accepted {
            Ok((stream, _)) => {
                connections.spawn_local(server.clone().serve_connection(stream));
            }
            Err(error) => accepting::pause(&error).await,
        }
        while connections.try_join_next().is_some() {}
    }
    for accepted in listener.close().await {
        match accepted {
            Ok((stream, _)) => {
                connections.spawn_local(server.clone().serve_connection(stream));
            }
            Err(error) => accepting::pause(&error).await,
        }
    }
    while connections.join_next().await.is_some() {}
}

/// What the connections of one address share.
#[derive(Clone, Debug)]
struct Server {
    state: rc::Rc<state::State>,
    /// Becomes true when connections are to be closed after their current requests.
    close: watch::Receiver<bool>,
    lingering: lingering::Group,
}

impl Server {
    async fn serve_connection(self, stream: TcpStream) {
        let Self { state, close, lingering } = self;
        socket::accepted(&stream);
        let addresses = sending::addresses(&stream);
        let stream = sending::Connection::new(stream, addresses);
        let stream = lingering::Connection::new(stream, lingering).with_addresses(addresses);
        let activity = closing::Activity::default();
        let service = service_fn(|request| {
            let running = activity.begin();
            let state = rc::Rc::clone(&state);
            async move {
                let response = answer(&state, &request).await;
                drop(running);
                Ok::<_, convert::Infallible>(response)
            }
        });
        let mut builder = http1::Builder::new();
        builder.timer(rt::TokioTimer::new()).header_read_timeout(HEAD_TIME);
        let mut connection = pin::pin!(builder.serve_connection(rt::TokioIo::new(stream), service));
        let is_over = tokio::select! {
            // A client that leaves or sends no HTTP ends its own connection only.
            _ = connection.as_mut() => true,
            () = activity.ends(close) => false,
        };
        if !is_over {
            connection.as_mut().graceful_shutdown();
            // As above.
            let _ = connection.await;
        }
    }
}

async fn answer(state: &state::State, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    match request.uri().path() {
        names::READY => match state.is_ready() {
            true => Response::new(Full::default()),
            false => unavailable(),
        },
        names::RESOLVE => {
            let body = directory::answer(state, request.uri().query().unwrap_or_default());
            let mut response = Response::new(Full::new(Bytes::from(body)));
            let json = header::HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, json);
            response
        }
        peer_check::PATH => {
            match peer_check::answer(state, request.uri().query().unwrap_or_default()).await {
                Some(served) => Response::new(Full::new(Bytes::from(served))),
                None => unavailable(),
            }
        }
        _ => control::answer(state, request),
    }
}

fn unavailable() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}
