//! Connection to an upstream.
//!
//! Owns the socket and the task that drives the connection. [`metered`] counts what it receives.

use std::io;
use std::net;
use std::sync;
use std::time::{Duration, Instant};

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use tokio::net::TcpStream;
use tokio::task;
use tokio::time;

use crate::common::body;
use crate::common::metered;
use crate::common::socket;

/// Time to make a connection to an upstream.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// A connection to an upstream.
///
/// It closes after the exchange in progress once it is dropped, and at once where that is given up.
#[derive(Debug)]
pub(super) struct Connection {
    /// The sending half.
    pub(super) sender: http1::SendRequest<body::Body>,
    /// The upstream's address.
    pub(super) address: net::SocketAddr,
    /// Since when it is idle, or when it was opened.
    pub(super) idle_since: Instant,
    /// What it received.
    pub(super) meter: sync::Arc<metered::Meter>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be established within [`CONNECT_TIME`].
    pub(super) async fn open(address: net::SocketAddr, now: Instant) -> io::Result<Self> {
        let connect = time::timeout(CONNECT_TIME, TcpStream::connect(address));
        let stream = connect.await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
        stream.set_nodelay(true)?;
        if let Err(error) = socket::reset_when_closed(&stream) {
            // The connection works, but data of an abandoned request may still be sent.
            socket::log_not_set(&error);
        }
        let meter = sync::Arc::<metered::Meter>::default();
        let (sender, connection) = metered::handshake(stream, &meter).await?;
        task::spawn(drive(connection, sync::Arc::clone(&meter)));
        Ok(Self { sender, address, idle_since: now, meter })
    }

    /// Sends `request` and waits for the head of the response; one that has begun must end soon.
    ///
    /// # Errors
    ///
    /// Fails if the request is not sent, or no head arrives.
    pub(super) async fn send(
        &mut self,
        mut request: Request<body::Body>,
    ) -> Result<Response<Incoming>, Failure> {
        hyper::ext::on_informational(&mut request, {
            let meter = sync::Arc::clone(&self.meter);
            move |_| meter.record_interim()
        });
        self.meter.await_head();
        let response = tokio::select! {
            biased;
            response = self.sender.try_send_request(request) => response,
            () = self.meter.head_late() => {
                return Err(Failure::Broken(anyhow::anyhow!(metered::LATE_HEAD)));
            }
        };
        self.meter.record_progress();
        response.map_err(|mut error| match error.take_message() {
            Some(request) => Failure::NotSent(Box::new(request)),
            None => Failure::Broken(error.into_error().into()),
        })
    }
}

/// Why a request has no response.
#[derive(Debug)]
pub(super) enum Failure {
    /// Nothing was sent; this is the request.
    NotSent(Box<Request<body::Body>>),
    /// The request was sent, and the connection failed before the head of the response.
    Broken(anyhow::Error),
}

/// Drives a connection until it ends.
async fn drive(connection: metered::Connection<TcpStream>, meter: sync::Arc<metered::Meter>) {
    // An exchange on the connection returns its error, and looks at the meter itself.
    let _ = metered::drive(connection, &meter).await;
}
