//! Presence of a caller: notices that it has left while its request is in flight.
//!
//! The HTTP library reads nothing then, because it takes every end of a sending half for the end of the connection.
//! [`half_close`] decides which one is. Belongs to one connection, whose task polls the HTTP library before it.

use std::cell;
use std::future;
use std::task::Poll;
use std::time::Instant;

use http::{Request, Version};
use steer::dispatch::half_close;
use tokio::time;

use crate::common::delivery;
use crate::common::send_queue;
use crate::common::shared_stream;

/// Interim response (RFC 9110, section 15.2), which a caller discards.
const PROBE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The caller of a connection.
#[derive(Debug)]
pub struct Presence {
    stream: shared_stream::Stream,
    addresses: Option<send_queue::Addresses>,
    ledger: delivery::Ledger,
    /// Whether a handler runs whose response has not begun.
    is_handled: cell::Cell<bool>,
    /// Whether the caller of the latest request understands interim responses.
    understands_interim: cell::Cell<bool>,
}

impl Presence {
    /// Watches the caller at the other end of `stream`, whose responses `ledger` tracks.
    #[must_use]
    pub fn new(
        stream: shared_stream::Stream,
        addresses: Option<send_queue::Addresses>,
        ledger: delivery::Ledger,
    ) -> Self {
        Self {
            stream,
            addresses,
            ledger,
            is_handled: cell::Cell::new(false),
            understands_interim: cell::Cell::new(false),
        }
    }

    /// Records that a request is handled from now on.
    pub fn begin<B>(&self, request: &Request<B>) {
        self.is_handled.set(true);
        self.understands_interim.set(request.version() >= Version::HTTP_11);
    }

    /// Records that the response to the request begins.
    pub fn respond(&self) {
        self.is_handled.set(false);
    }

    /// Waits until the caller has left while a request was in flight.
    pub async fn ended(&self) {
        loop {
            self.until(true).await;
            let is_ended = tokio::select! {
                biased;
                () = self.until(false) => false,
                () = self.stream.ended() => true,
            };
            if is_ended && self.has_left().await {
                return;
            }
        }
    }

    /// Waits until a request is in flight or until none is. Changes are made within the task that waits.
    async fn until(&self, is_in_flight: bool) {
        future::poll_fn(|_| match self.is_in_flight() == is_in_flight {
            true => Poll::Ready(()),
            false => Poll::Pending,
        })
        .await;
    }

    fn is_in_flight(&self) -> bool {
        self.is_handled.get() || !self.ledger.is_empty()
    }

    /// Returns whether a caller that has ended its sending half leaves before its response has been delivered.
    async fn has_left(&self) -> bool {
        let mut half_close = half_close::HalfClose::new(Instant::now());
        while self.is_in_flight() {
            let Some(addresses) = self.addresses else { return true };
            let (written, is_response_begun) = (self.ledger.written(), !self.ledger.is_empty());
            let now = Instant::now();
            let step = match addresses.unacknowledged() {
                Ok(unacknowledged) => {
                    let unacknowledged = unacknowledged.into();
                    let sent = half_close::Sent { written, unacknowledged, is_response_begun };
                    half_close.check(sent, now)
                }
                Err(send_queue::Error::Failed(_)) => {
                    half_close.check_failed(written, is_response_begun, now)
                }
                // It has been reset, or the operating system reports no connections.
                Err(send_queue::Error::NotReported) => return true,
            };
            match step {
                half_close::Step::Wait => {}
                half_close::Step::Probe => {
                    if !self.understands_interim.get() || self.stream.write_aside(PROBE).is_err() {
                        return true;
                    }
                }
                half_close::Step::End => return true,
            }
            time::sleep(half_close::CHECK_PERIOD).await;
        }
        false
    }
}
