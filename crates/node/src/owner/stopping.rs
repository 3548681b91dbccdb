//! Planned stop of a node: which requests are still accepted, until when they may run, and which it still has.
//!
//! Shared by the threads that serve callers and peers. [`response_times`] decides whether a request
//! ends before the node does.
//!
//! [`response_times`]: steer::common::response_times

use std::sync;
use std::time::{Duration, Instant};

use http::StatusCode;
use model::clock;
use model::id;
use model::verdict::{self, Reason};
use steer::common::grace;
use steer::common::response_times::{self, ResponseTimes};
use steer::dispatch::stop;
use tokio::sync::watch;

use crate::owner::failed;
use crate::owner::in_flight::{self, Outcome, phase};
use crate::owner::runner;

/// `Retry-After` of a node that stops before the request may have ended; another node can serve at once.
const RETRY: Duration = Duration::from_millis(60);

/// Time after a shortened deadline for which the verdict of another node is awaited: half of the time that is left for
/// the response then.
const MAX_LATE_VERDICT: Duration = Duration::from_millis(50);

/// Returns the failure of a request that the stopping node does not run.
#[must_use]
pub fn refusal() -> verdict::Failure {
    verdict::Failure::not_run(Reason::NotReady).with_retry_after(RETRY)
}

/// Kind of requests whose response times are similar.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    service: id::Service,
    method: String,
}

impl Kind {
    /// Returns the kind of a request.
    #[must_use]
    pub fn of(order: &runner::Order) -> Self {
        let method = order.method.as_str().to_owned();
        Self { service: order.service.name.clone(), method }
    }
}

/// Times by which the requests of a stopping node go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Times {
    /// When requests that are still accepted must have ended.
    usable_until: Instant,
    /// When the node exits, less the time for which it may not run.
    exit: Instant,
}

impl Times {
    fn new(grace: &grace::Grace) -> Self {
        let exit = grace.latest_end() - grace.margin();
        Self { usable_until: grace.usable_until(), exit }
    }
}

/// State of a node's planned stop, and what it needs to know by then.
#[derive(Debug)]
pub struct Stopping {
    /// `None` unless the node is stopping.
    times: watch::Sender<Option<Times>>,
    response_times: sync::Mutex<ResponseTimes<Kind>>,
    /// Requests that the node has taken, and of which its callers do not have the whole response.
    pub requests: sync::Arc<in_flight::Registry>,
}

impl Stopping {
    /// Creates the state of a node that is not stopping.
    #[must_use]
    pub fn new(clock: sync::Arc<dyn clock::Clock>) -> Self {
        Self {
            times: watch::Sender::new(None),
            response_times: sync::Mutex::new(ResponseTimes::new(response_times::OWNER_EXCESS)),
            requests: sync::Arc::new(in_flight::Registry::new(clock)),
        }
    }

    /// Begins the stop of a node that was told to at `signalled`, with this grace time.
    pub fn begin(&self, signalled: Instant, grace: &grace::Grace) {
        self.limit(grace);
        self.requests.begin_stop(signalled);
    }

    /// Sets the times by which requests go that are accepted from now on.
    pub fn limit(&self, grace: &grace::Grace) {
        let times = Some(Times::new(grace));
        self.times.send_if_modified(|current| std::mem::replace(current, times) != times);
    }

    /// Returns how a request that is sent now is admitted, if it ends before the node may be killed, as far as that
    /// is known; measures it from now on.
    ///
    /// It may last longer than the others of its kind, so that its deadline is shortened to the node's exit.
    #[must_use]
    pub fn admit(self: &sync::Arc<Self>, order: &mut runner::Order) -> Option<Admission> {
        let now = self.requests.now();
        let kind = Kind::of(order);
        let times = *self.times.borrow();
        let ends_before = |end| {
            self.response_times().ends_before(end, &kind, order.deadline, Duration::ZERO, now)
        };
        if !times.is_none_or(|times| ends_before(times.usable_until)) {
            return None;
        }
        let deadline = response_times::shorten(order.deadline, times.map(|times| times.exit));
        let is_shortened = deadline < order.deadline;
        let stopping = sync::Arc::clone(self);
        let allowed = order.deadline.saturating_duration_since(now);
        order.request.measure(Measurement { stopping, kind, sent: now, allowed, is_shortened });
        if is_shortened {
            order.deadline = deadline;
            order.request.describe(order);
        }
        Some(Admission { deadline, is_shortened })
    }

    /// Returns once a request whose body is incomplete is refused, so that the response still reaches its caller.
    pub async fn refuses_incomplete(&self) {
        let mut changes = self.times.subscribe();
        loop {
            let times = *changes.borrow_and_update();
            let refused = times.map(|times| times.exit - stop::REFUSAL_BEFORE_EXIT);
            let left = refused.map(|at| at.saturating_duration_since(self.requests.now()));
            tokio::select! {
                // The sender is here, so that this does not fail.
                _ = changes.changed() => {}
                () = tokio::time::sleep(left.unwrap_or_default()), if left.is_some() => return,
            }
        }
    }

    fn response_times(&self) -> sync::MutexGuard<'_, ResponseTimes<Kind>> {
        self.response_times.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// How a request was admitted.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// Its deadline from now on.
    deadline: Instant,
    /// Whether that is earlier than its own because the node stops.
    is_shortened: bool,
}

impl Admission {
    /// Returns the result of `work`, which goes by the deadline of the request; awaits it no longer than until shortly
    /// before the exit if that shortened the deadline.
    ///
    /// # Errors
    ///
    /// Fails as `work` does, and with its verdict open where it does not end.
    pub async fn within<T>(
        self,
        work: impl Future<Output = Result<T, verdict::Failure>>,
        now: Instant,
    ) -> Result<T, verdict::Failure> {
        if !self.is_shortened {
            return work.await;
        }
        let left = (self.deadline + MAX_LATE_VERDICT).saturating_duration_since(now);
        let ended = tokio::time::timeout(left, work).await;
        let late = verdict::Failure::may_have_run(Reason::Deadline);
        ended.unwrap_or(Err(late)).map_err(|failure| self.restate(failure))
    }

    /// Returns `failed` as a refusal by this node if the request was not run because its deadline was shortened.
    #[must_use]
    pub fn restate_failed(self, failed: failed::Failed) -> failed::Failed {
        failed::Failed { failure: self.restate(failed.failure), ..failed }
    }

    fn restate(self, failure: verdict::Failure) -> verdict::Failure {
        let is_late =
            (failure.verdict, failure.reason) == (verdict::Verdict::NotRun, Reason::Deadline);
        if self.is_shortened && is_late { refusal() } else { failure }
    }
}

/// Measures how long a request takes until its response has left the node.
#[derive(Debug)]
pub struct Measurement {
    stopping: sync::Arc<Stopping>,
    kind: Kind,
    sent: Instant,
    /// Time until its own deadline.
    allowed: Duration,
    /// Whether it had an earlier deadline, since the node stops.
    is_shortened: bool,
}

impl Measurement {
    /// Records a request that ended at `now`, if that says how long others of its kind take.
    ///
    /// Errors often come sooner than answers, and a response that its caller gave up sooner than its end, so that
    /// they would make the kind look quick.
    pub fn end(self, state: &in_flight::State, now: Instant) {
        let took = now.saturating_duration_since(self.sent);
        let allowed = self.allowed;
        let is_delivered = state.phase == phase::Phase::Delivered;
        let took = match state.outcome {
            Some(Outcome::Answered(status)) if is_delivered && !is_error(status) => took,
            // It would have lasted longer still.
            Some(Outcome::Answered(_)) if took > allowed => took,
            // What ends at the exit tells nothing.
            Some(Outcome::Refused(Reason::Deadline) | Outcome::Failed(Reason::Deadline))
                if !self.is_shortened =>
            {
                allowed
            }
            _ => return,
        };
        self.stopping.response_times().record(&self.kind, took, allowed, now);
    }
}

fn is_error(status: StatusCode) -> bool {
    status.is_client_error() || status.is_server_error()
}
