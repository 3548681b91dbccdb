//! Accepting of connections until a server is told to stop.
//!
//! The kernel completes connections before they are accepted. Those that wait when a listener is closed are
//! reset, so they are accepted first.

use std::io;
use std::net;
use std::time::Duration;

use futures_util::stream;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time;

use crate::common::socket;

/// Time that handshakes in progress have to complete before a listener is closed; round trips within a region.
///
/// Whoever connects meanwhile is refused a second later only.
const HANDSHAKE_TIME: Duration = Duration::from_millis(10);

/// Pause after a failure to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A connection and the address of its other end.
pub type Accepted = (TcpStream, net::SocketAddr);

/// A listener that accepts connections until it is told to stop.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    stop: watch::Receiver<bool>,
}

impl Listener {
    /// Accepts from `listener` until `stop` turns true.
    #[must_use]
    pub fn new(listener: TcpListener, stop: watch::Receiver<bool>) -> Self {
        Self { listener, stop }
    }

    /// Returns the next connection; none once the listener is to stop.
    pub async fn next(&mut self) -> Option<io::Result<Accepted>> {
        tokio::select! {
            accepted = self.listener.accept() => Some(accepted),
            () = stopped(&mut self.stop) => None,
        }
    }

    /// Returns once the listener is to stop.
    pub async fn stopped(&mut self) {
        stopped(&mut self.stop).await;
    }

    /// Ignores new connections; those that wait in the kernel are left to be accepted.
    pub async fn close(self) -> Waiting {
        if let Err(error) = socket::ignore_new_connections(&self.listener) {
            socket::log_not_set(&error);
        }
        time::sleep(HANDSHAKE_TIME).await;
        // Asks the kernel itself, since the runtime learns of connections only when it waits for events.
        let listener = self.listener.into_std();
        Waiting { listener: listener.inspect_err(log_not_accepted).ok() }
    }

    /// Returns the connections until the listener is to stop, and then those that waited in the kernel.
    pub fn connections(self) -> impl stream::Stream<Item = io::Result<TcpStream>> {
        stream::unfold(State::Open(self), |mut state| async move {
            loop {
                let accepted = match &mut state {
                    State::Open(listener) => listener.next().await,
                    State::Closing(waiting) => waiting.next(),
                };
                state = match (accepted, state) {
                    (Some(Ok((stream, _))), state) => return Some((Ok(stream), state)),
                    (Some(Err(error)), state) => {
                        pause(&error).await;
                        state
                    }
                    (None, State::Open(listener)) => State::Closing(listener.close().await),
                    (None, State::Closing(_)) => return None,
                };
            }
        })
    }
}

/// Where the next connection comes from.
enum State {
    Open(Listener),
    Closing(Waiting),
}

/// Connections that wait in the kernel, and are reset when this is dropped.
///
/// An error, such as too many open files, does not end them: what ends meanwhile leaves descriptors for others.
#[derive(Debug)]
pub struct Waiting {
    listener: Option<net::TcpListener>,
}

impl Iterator for Waiting {
    type Item = io::Result<Accepted>;

    fn next(&mut self) -> Option<Self::Item> {
        let listener = self.listener.as_ref()?;
        loop {
            match listener.accept() {
                Ok((stream, peer)) => return Some(register(stream).map(|stream| (stream, peer))),
                Err(error) => match error.kind() {
                    io::ErrorKind::WouldBlock => return None,
                    // The other end has disconnected, or a signal came.
                    io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted => {}
                    _ => return Some(Err(error)),
                },
            }
        }
    }
}

/// Waits after a connection could not be accepted, such as for too many open files.
pub async fn pause(error: &io::Error) {
    log_not_accepted(error);
    time::sleep(ACCEPT_PAUSE).await;
}

fn log_not_accepted(error: &io::Error) {
    let error = error.to_string();
    log::debug!(error = error.as_str(); "accept-failed");
}

/// Returns once `stop` is true, or its sender is gone.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    // Fails when the node has ended, and with it whatever waits here.
    let _ = stop.wait_for(|stop| *stop).await;
}

fn register(stream: net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}
