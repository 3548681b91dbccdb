//! Close of a connection when its node stops: after the request that may be on its way.

use std::sync;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time;

/// Time for a request that was sent before its sender could learn that the connection ends: more than a round
/// trip between two regions.
const REQUEST_TIME: Duration = Duration::from_millis(250);

/// Requests of one connection.
#[derive(Clone, Debug, Default)]
pub struct Activity(sync::Arc<watch::Sender<Requests>>);

#[derive(Clone, Copy, Debug, Default)]
struct Requests {
    begun: u64,
    running: usize,
}

impl Activity {
    /// Counts a request as running until the guard is dropped.
    #[must_use]
    pub fn begin(&self) -> Running {
        self.0.send_modify(|requests| {
            requests.begun += 1;
            requests.running += 1;
        });
        Running(self.clone())
    }

    /// Returns once the node stops and the connection is to end after the requests that it has.
    ///
    /// The HTTP library closes a connection without a request at once, with what was sent on it meanwhile.
    pub async fn ends(&self, mut stop: watch::Receiver<bool>) {
        // Fails when the node has ended, and with it this connection.
        let _ = stop.wait_for(|stop| *stop).await;
        let mut requests = self.0.subscribe();
        let begun = requests.borrow().begun;
        let next = requests.wait_for(|now| now.running > 0 || now.begun > begun);
        // No request came in time.
        let _ = time::timeout(REQUEST_TIME, next).await;
    }
}

/// Counts a request as running until it is dropped.
#[derive(Debug)]
pub struct Running(Activity);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.0.send_modify(|requests| requests.running -= 1);
    }
}
