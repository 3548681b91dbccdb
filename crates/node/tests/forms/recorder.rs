//! A server that records the calls it gets.

use std::net;
use std::sync;

use axum::body;
use axum::extract::{Request, State};
use axum::response::Response;
use http::header;
use tokio::net::TcpListener;

/// Longest body of a call, in bytes.
const LONGEST: usize = 1 << 20;

/// How calls are answered, by method, path and body.
type Answers = fn(&str, &str, &[u8]) -> Response;

/// A call as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Method, target and content type.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

/// A server that records the calls it gets.
#[derive(Debug)]
pub struct Recorder {
    /// Where it listens.
    pub address: net::SocketAddr,
    calls: sync::Arc<sync::Mutex<Vec<Call>>>,
}

impl Recorder {
    /// Starts a server that answers as `answers` says.
    pub async fn start(answers: Answers) -> Self {
        let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("a free port");
        let address = listener.local_addr().expect("it listens");
        let calls = sync::Arc::default();
        let state = (sync::Arc::clone(&calls), answers);
        let router = axum::Router::new().fallback(take).with_state(state);
        tokio::spawn(async move { axum::serve(listener, router).await });
        Self { address, calls }
    }

    /// Returns the calls so far.
    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().expect("no server panics").clone()
    }

    /// Returns the calls so far as text, one call a line.
    pub fn transcript(&self) -> String {
        let line = |call: &Call| format!("{} {}\n", call.head, call.body.escape_ascii());
        self.calls().iter().map(line).collect()
    }
}

type Shared = (sync::Arc<sync::Mutex<Vec<Call>>>, Answers);

async fn take(State((calls, answers)): State<Shared>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let body = body::to_bytes(body, LONGEST).await.expect("the body is short").to_vec();
    let kind = head.headers.get(header::CONTENT_TYPE).map_or("-", |v| v.to_str().unwrap_or("?"));
    let call = Call { head: format!("{} {} {kind}", head.method, head.uri), body: body.clone() };
    calls.lock().expect("no server panics").push(call);
    answers(head.method.as_str(), head.uri.path(), &body)
}

/// Returns an answer.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &str) -> Response {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(body::Body::from(body.to_owned())).expect("the answer is well formed")
}
