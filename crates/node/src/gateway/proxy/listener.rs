//! Accepts callers' connections and reads requests from them.
//!
//! Owns the sockets and their limits; [`handler`] answers the requests.

use std::cell;
use std::convert;
use std::net;
use std::pin::{self, Pin};
use std::rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt;
use model::routing;
use steer::dispatch::connection_limit;
use tokio::io::AsyncWriteExt as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

use crate::common::accepting;
use crate::common::delivery;
use crate::common::lingering;
use crate::common::sending;
use crate::common::shared_stream;
use crate::common::socket;
use crate::gateway::proxy::answer;
use crate::gateway::proxy::handler;
use crate::gateway::proxy::presence;
use crate::gateway::proxy::server;

/// Minimum buffer size that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Time that a connection has for its first request when connections are closed, from when it was accepted.
///
/// A caller that connects sends its request as soon as it knows that it is connected, one round trip later.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Interval at which a connection that is to be closed looks for a request.
const REQUEST_CHECK_PERIOD: Duration = Duration::from_millis(10);

/// Accepts callers' connections until they are to be closed, and then those that the operating system has accepted.
pub async fn serve(server: server::Server, listener: TcpListener) {
    let mut listener = accepting::Listener::new(listener, server.close.clone());
    loop {
        tokio::select! {
            () = wait_for_room(&server) => {}
            () = listener.stopped() => break,
        }
        match listener.next().await {
            Some(Ok((stream, caller))) => start(&server, stream, caller.ip()),
            Some(Err(error)) => accepting::pause(&error).await,
            None => break,
        }
    }
    // A planned stop waits for the connections that are about to be established.
    let _guard = server.open.connection();
    let mut waiting = listener.close().await;
    loop {
        wait_for_room(&server).await;
        match waiting.next() {
            Some(Ok((stream, caller))) => start(&server, stream, caller.ip()),
            Some(Err(error)) => accepting::pause(&error).await,
            None => return,
        }
    }
}

async fn wait_for_room(server: &server::Server) {
    while next_step(server) == connection_limit::Step::Wait {
        time::sleep(connection_limit::CHECK_PERIOD).await;
    }
}

fn next_step(server: &server::Server) -> connection_limit::Step {
    let open = server.open.connections().saturating_sub(server.open.lingering.count());
    connection_limit::step(open, server.open.refused())
}

/// Serves a connection in a task of its own, or refuses its request if there is no room for it.
fn start(server: &server::Server, stream: TcpStream, caller: net::IpAddr) {
    socket::accepted(&stream);
    let is_served = next_step(server) == connection_limit::Step::Serve;
    let guard = server.open.connection();
    let server = server.clone();
    if is_served {
        tokio::task::spawn_local(async move {
            connection(server, stream, caller, Use::Serve).await;
            drop(guard);
        });
        return;
    }
    log::warn!(connections = server.open.connections(); "connection-refused");
    let refused = server.open.refusal();
    tokio::task::spawn_local(async move {
        let refusal = connection(server, stream, caller, Use::Refuse);
        // Fails if no request has come, or its caller has not closed.
        let _ = time::timeout(connection_limit::REFUSAL_TIME, refusal).await;
        drop((refused, guard));
    });
}

/// What a connection is accepted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Use {
    /// Its requests are handled.
    Serve,
    /// Its request is refused, and it ends.
    Refuse,
}

async fn connection(server: server::Server, stream: TcpStream, caller: net::IpAddr, use_for: Use) {
    let limits = server.state.routing().map_or_else(routing::CallerLimits::default, |r| r.limits);
    let mut close = server.close.clone();
    let ledger = delivery::Ledger::default();
    let addresses = sending::addresses(&stream);
    let requests = rc::Rc::new(Requests::new(shared_stream::Stream::new(stream)));
    let presence = presence::Presence::new(requests.stream.clone(), addresses, ledger.clone());
    let stream = sending::Connection::new(requests.stream.clone(), addresses);
    let stream = lingering::Connection::new(stream, server.open.lingering.clone());
    let stream = stream.with_addresses(addresses);
    let service = service_fn(|request| {
        requests.begin();
        presence.begin(&request);
        let (server, ledger, presence) = (server.clone(), ledger.clone(), &presence);
        async move {
            let response = match use_for {
                Use::Serve => handler::handle(&server, request, caller, &ledger).await,
                Use::Refuse => {
                    let reason = answer::Reason::TooManyConnections;
                    handler::refuse(&server, request, caller, &ledger, reason)
                }
            };
            presence.respond();
            Ok::<_, convert::Infallible>(response)
        }
    });
    let stream = delivery::Stream::new(stream, ledger.clone());
    let mut builder = http1::Builder::new();
    builder
        .timer(rt::TokioTimer::new())
        // A caller that has left is noticed by its presence.
        .half_close(true)
        // The library's timeout for the head includes the idle time before it.
        .header_read_timeout(limits.idle_time.max(limits.head_time))
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES));
    let mut connection = builder.serve_connection(rt::TokioIo::new(stream), service);
    let may_close = async {
        // Fails if the server has ended, which closes connections too.
        let _ = close.wait_for(|close| *close).await;
        requests.awaited().await;
    };
    // A caller that disconnects or violates HTTP only affects its own connection; the trace of
    // each interrupted request logs it.
    let mut left = pin::pin!(presence.ended());
    let is_over = tokio::select! {
        biased;
        _ = &mut connection => true,
        () = &mut left => return,
        () = may_close => false,
    };
    if !is_over {
        Pin::new(&mut connection).graceful_shutdown();
        // As above.
        tokio::select! {
            biased;
            _ = &mut connection => {}
            () = left => return,
        }
    }
    // The library does not shut down connections that it ends with an error, such as one on which no
    // head came in time. Fails if the caller has disconnected.
    let _ = connection.into_parts().io.into_inner().shutdown().await;
}

/// Requests of one connection, as far as its end must wait for them.
#[derive(Debug)]
struct Requests {
    stream: shared_stream::Stream,
    accepted: time::Instant,
    begun: cell::Cell<usize>,
}

impl Requests {
    fn new(stream: shared_stream::Stream) -> Self {
        Self { stream, accepted: time::Instant::now(), begun: cell::Cell::new(0) }
    }

    /// Counts a request whose head has been read.
    fn begin(&self) {
        self.begun.set(self.begun.get() + 1);
    }

    /// Waits until the connection may be closed after its current request: the time for its first request has
    /// passed, and no other request that had been sent waits to be read.
    async fn awaited(&self) {
        let begun = self.begun.get();
        let end = self.accepted + FIRST_REQUEST_TIME;
        while self.begun.get() == 0 && time::Instant::now() < end {
            time::sleep(REQUEST_CHECK_PERIOD).await;
        }
        let end = time::Instant::now() + FIRST_REQUEST_TIME;
        while self.begun.get() == begun && self.stream.has_unread() && time::Instant::now() < end {
            time::sleep(REQUEST_CHECK_PERIOD).await;
        }
    }
}
