//! Handler of one request, from its head to the response of an upstream or of the gateway.
//!
//! Defines the order of the steps: head, route, organisation, deadline, body, quota, service,
//! tries. [`tries`] sends the request to upstreams, [`answer`] creates the gateway's own responses,
//! and [`trace`] writes the log line.

use std::net;
use std::rc;
use std::sync;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use http::{HeaderValue, Request, Response, header, request};
use hyper::body::Incoming;
use model::{id, key, organisation, route, routing};
use platform::field;
use steer::dispatch::reservation::{self, caller};
use steer::dispatch::{give_up, homes, stop, urgency};

use crate::common::body;
use crate::common::delivery;
use crate::gateway::proxy::answer;
use crate::gateway::proxy::head;
use crate::gateway::proxy::in_flight;
use crate::gateway::proxy::request_body;
use crate::gateway::proxy::server;
use crate::gateway::proxy::trace;
use crate::gateway::proxy::tries;
use crate::gateway::state;

/// Longest time left of a caller that reservations take into account; a header may state any time.
const MAX_TIME_LEFT: Duration = Duration::from_secs(600);

/// Lowest status of a failure.
const LOWEST_FAILURE: u16 = 400;

/// Handles one request from the address `caller`, on the connection whose responses `ledger` tracks.
pub async fn handle(
    server: &server::Server,
    request: Request<Incoming>,
    caller: net::IpAddr,
    ledger: &delivery::Ledger,
) -> Response<body::Body> {
    let request_in_flight = rc::Rc::new(server.open.requests.enter(Instant::now()));
    server.state.metrics.requests.add(1);
    let (parts, incoming) = request.into_parts();
    let is_chunked = parts.headers.contains_key(header::TRANSFER_ENCODING);
    let mut trace = trace::Trace::new(&server.state, &request_in_flight);
    let mut is_unreachable = false;
    let mut response = match serve(server, parts, incoming, caller, &mut trace).await {
        Ok(response) => {
            trace.answered(response.status());
            response
        }
        Err(reason) => {
            is_unreachable = reason == answer::Reason::GivenUp(give_up::Reason::Unreachable);
            trace.refused(reason);
            answer::make(reason, server.state.dialect)
        }
    };
    // A chunked request may also have a length, which the HTTP library does not report. Such a
    // request can smuggle a second one (RFC 9112, section 6.1), so no further request is read from
    // its connection. A caller that this gateway cannot serve must connect to another gateway.
    if is_chunked || is_unreachable || server.state.is_leaving() {
        close(&mut response);
    }
    track(server, response, request_in_flight, ledger)
}

/// Refuses one request for a reason that its connection has; the connection ends.
pub fn refuse(
    server: &server::Server,
    request: Request<Incoming>,
    caller: net::IpAddr,
    ledger: &delivery::Ledger,
    reason: answer::Reason,
) -> Response<body::Body> {
    let request_in_flight = rc::Rc::new(server.open.requests.enter(Instant::now()));
    server.state.metrics.requests.add(1);
    let (parts, _) = request.into_parts();
    let mut trace = trace::Trace::new(&server.state, &request_in_flight);
    if let Ok(head) = head::Head::read(parts, caller, trace.arrived(), server.state.dialect) {
        trace.set_request(&head.request_id);
    }
    trace.refused(reason);
    let mut response = answer::make(reason, server.state.dialect);
    close(&mut response);
    track(server, response, request_in_flight, ledger)
}

/// Ends the connection after `response`.
fn close(response: &mut Response<body::Body>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}

/// Keeps a request open until its response has been delivered, or its connection has ended.
fn track(
    server: &server::Server,
    response: Response<body::Body>,
    request: rc::Rc<in_flight::Request>,
    ledger: &delivery::Ledger,
) -> Response<body::Body> {
    let (parts, body) = response.into_parts();
    let state = rc::Rc::clone(&server.state);
    let ended = rc::Rc::clone(&request);
    let (body, progress) = ledger.track(body, move |end| end_response(&state, &ended, end));
    request.set_progress(progress);
    Response::from_parts(parts, body)
}

/// Records how the response of a request ended.
fn end_response(state: &state::State, request: &in_flight::Request, end: delivery::End) {
    match end {
        delivery::End::Delivered => {
            request.set_delivered();
            request.read(|entry| record_response_time(state, entry));
        }
        delivery::End::Undelivered => {
            request.set_undelivered();
            state.metrics.undelivered.add(1);
            if request.is_stopping() {
                request.read(log_undelivered);
            }
        }
        delivery::End::CutOff => request.set_cut_off(),
    }
}

/// Records how long the try that was answered took until its response was delivered.
///
/// A failure says nothing of how long a success takes.
fn record_response_time(state: &state::State, entry: &in_flight::Entry) {
    let in_flight::Entry { route: Some(route), service: Some(service), .. } = entry else { return };
    let (Some(sent), Some(deadline)) = (entry.sent, entry.deadline) else { return };
    let Some(in_flight::Response::Answered(status)) = entry.response else { return };
    if status.as_u16() >= LOWEST_FAILURE {
        return;
    }
    let now = Instant::now();
    let took = now.saturating_duration_since(sent);
    let allowed = deadline.saturating_duration_since(sent);
    let kind = (route.clone(), service.clone());
    state.response_times.borrow_mut().record(&kind, took, allowed, now);
}

fn log_undelivered(entry: &in_flight::Entry) {
    log::warn!(
        request = entry.id.as_str(),
        route = entry.route.as_ref().map_or("", id::Route::as_str),
        upstream = entry.upstream.as_ref().map_or("", id::Upstream::as_str),
        status = entry.response.map_or(0, |response| response.status().as_u16()),
        waited_ms = field::whole_millis(entry.arrived.elapsed());
        "response-undelivered"
    );
}

async fn serve(
    server: &server::Server,
    parts: request::Parts,
    incoming: Incoming,
    caller: net::IpAddr,
    trace: &mut trace::Trace,
) -> Result<Response<body::Body>, answer::Reason> {
    let head = head::Head::read(parts, caller, trace.arrived(), server.state.dialect)
        .map_err(answer::Reason::BadHead)?;
    trace.set_request(&head.request_id);
    let routing = server.state.routing().ok_or(answer::Reason::NoConfiguration)?;
    trace.set_version(routing.version);
    let found = routing.find(&head.host, head.path());
    let route = found.cloned().ok_or(answer::Reason::NoRoute)?;
    trace.set_route(&route.name);
    let organisation = organisation(&routing, &route, head.key)?;
    let organisation = organisation.as_deref();
    trace.set_organisation(organisation.map(|o| &o.name));
    let homes =
        homes::of(&route, organisation).ok_or(answer::Reason::GivenUp(give_up::Reason::NoHome))?;
    let timeout = head.deadline.unwrap_or(route.timeout).min(route.timeout);
    let deadline = head.arrived + timeout;
    let in_flight = rc::Rc::clone(trace.in_flight());
    in_flight.set_deadline(deadline);
    let largest = routing.limits.body_bytes;
    let body = read_body(server, &head, incoming, largest, (&route, deadline)).await?;
    in_flight.set_phase(in_flight::Phase::WaitingForAdmission);
    server.state.wait_for_confirmation().await;
    let caller = returning_caller(server, &head, &route, organisation);
    admit(server, organisation, caller.as_ref(), trace).map_err(answer::Reason::GivenUp)?;
    let service = server.state.dispatcher.borrow_mut().pick_service(&route);
    let service = service.ok_or(answer::Reason::GivenUp(give_up::Reason::NoService))?;
    trace.set_service(&service);
    let rules = routing.services.get(&service);
    let request = tries::Request {
        head: &head,
        body,
        route: &route,
        service: &service,
        rules,
        deadline,
        organisation,
        homes: &homes,
        caller,
        in_flight,
    };
    let outcome = send(server, request, trace).await;
    if let (Err(reason), Some(organisation)) = (&outcome, organisation)
        && reason.is_proved_not_run()
    {
        server.state.quotas.borrow_mut().give_back(&organisation.name, Instant::now());
    }
    outcome.map_err(answer::Reason::GivenUp)
}

/// Sends a request to upstreams until one answers, its deadline passes, or the node is about to exit.
async fn send(
    server: &server::Server,
    request: tries::Request<'_>,
    trace: &mut trace::Trace,
) -> Result<Response<body::Body>, give_up::Reason> {
    let (deadline, caller, service) = (request.deadline, request.caller, request.service);
    let mut tries = tries::Tries::new(server, request);
    let outcome = tokio::select! {
        biased;
        outcome = tokio::time::timeout_at(deadline.into(), tries.run()) => Some(outcome),
        () = server.state.wait_until_curtailed() => None,
    };
    let outcome = match outcome {
        Some(outcome) => outcome.unwrap_or_else(|_| Err(tries.expire())),
        None => Err(tries.curtail()),
    };
    trace.set_tries(tries.ended(), tries.refusal());
    trace.set_held(tries.held());
    if let (Err(give_up::Reason::Overloaded { .. }), Some(caller)) = (&outcome, &caller) {
        let dispatcher = server.state.dispatcher.borrow();
        if dispatcher.has_reservations() {
            trace.set_returned(dispatcher.returned(service, caller, Instant::now()));
        }
    }
    outcome
}

/// Returns the organisation that sends a request; `None` if the route or the configuration requires
/// no organisation.
///
/// The key of a request on a public route is ignored, and the request belongs to no organisation.
fn organisation(
    routing: &routing::Routing,
    route: &route::Route,
    given: key::Credential,
) -> Result<Option<sync::Arc<organisation::Organisation>>, answer::Reason> {
    let Some(organisations) = routing.organisations.as_ref().filter(|_| !route.is_public) else {
        return Ok(None);
    };
    match given {
        key::Credential::None => Err(answer::Reason::NoKey),
        key::Credential::Malformed => Err(answer::Reason::UnknownKey),
        key::Credential::Key(key) => {
            let found = organisations.find(&key).ok_or(answer::Reason::UnknownKey)?;
            Ok(Some(sync::Arc::clone(found)))
        }
    }
}

/// Counts a request against the quota of its organisation; `caller` is `None` if no room is reserved.
fn admit(
    server: &server::Server,
    organisation: Option<&organisation::Organisation>,
    caller: Option<&reservation::Caller>,
    trace: &mut trace::Trace,
) -> Result<(), give_up::Reason> {
    let Some(organisation) = organisation else { return Ok(()) };
    server.state.metrics.organisations.requested(&organisation.name);
    let (name, now) = (&organisation.name, Instant::now());
    let mut quotas = server.state.quotas.borrow_mut();
    let admitted = match caller {
        Some(caller) => quotas.admit_caller(name, caller, now).map_err(|refused| {
            trace.set_returned(refused.returned);
            refused.retry_after
        }),
        None => quotas.admit(name, now),
    };
    admitted.map_err(|retry_after| {
        server.state.metrics.organisations.over_quota(name);
        give_up::Reason::OverQuota { retry_after }
    })
}

/// Returns what a return of the caller is recognised by; `None` if no room is reserved for callers of
/// the organisation or of services.
fn returning_caller(
    server: &server::Server,
    head: &head::Head,
    route: &route::Route,
    organisation: Option<&organisation::Organisation>,
) -> Option<reservation::Caller> {
    let is_limited = organisation.is_some_and(|organisation| organisation.quota.is_some());
    let is_reserved = is_limited && server.state.quotas.borrow().reservations().is_some();
    if !is_reserved && !server.state.dispatcher.borrow().has_reservations() {
        return None;
    }
    let mut times_left = server.state.times_left.borrow_mut();
    // A caller that states no deadline has the same time left whenever it comes.
    let usual = head.deadline.and_then(|deadline| times_left.record(&route.name, deadline));
    let time_left = head.deadline.unwrap_or(route.timeout);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let deadline = now.saturating_sub(head.arrived.elapsed()).saturating_add(time_left);
    // Without the body, which takes long to hash.
    let content = head.fingerprint(organisation.map(|o| &o.name), &[]).affinity_hash();
    Some(reservation::Caller {
        address: head.caller,
        time_left: time_left.min(MAX_TIME_LEFT),
        usual,
        urgency: urgency::Urgency::of(route, organisation),
        draw: caller::draw(content, deadline),
    })
}

/// Reads a body of at most `largest` bytes until the deadline of its request, or until the node stops and the request
/// cannot end before the exit.
async fn read_body(
    server: &server::Server,
    head: &head::Head,
    incoming: Incoming,
    largest: u64,
    (route, deadline): (&route::Route, Instant),
) -> Result<request_body::Body, answer::Reason> {
    if head.length().is_some_and(|length| length > largest) {
        return Err(answer::Reason::TooLarge);
    }
    let read = request_body::Body::read(incoming, largest, server.open.requests.len());
    let read = tokio::time::timeout_at(deadline.into(), read);
    let read = tokio::select! {
        biased;
        read = read => read,
        () = cannot_end(&server.state, route, deadline) => {
            return Err(answer::Reason::GivenUp(give_up::Reason::Stopping));
        }
    };
    match read {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(request_body::Fault::TooLarge)) => Err(answer::Reason::TooLarge),
        Ok(Err(request_body::Fault::Cut)) => Err(answer::Reason::BodyCut),
        Err(_) => Err(answer::Reason::BodyLate),
    }
}

/// Waits until the node stops and a request whose body is incomplete cannot end before the exit.
///
/// It has not been sent to an upstream, so it can be refused while there is still time for the response.
async fn cannot_end(state: &state::State, route: &route::Route, deadline: Instant) {
    loop {
        tokio::time::sleep(stop::CHECK_PERIOD).await;
        let latest = Instant::now() + stop::REFUSAL_BEFORE_EXIT;
        let ends_in_time = |part: &route::Part| {
            state
                .expected_end(&route.name, &part.service, deadline, Duration::ZERO)
                .is_none_or(|end| state.ends_before_exit(end))
        };
        if !state.ends_before_exit(latest) || !route.parts.iter().any(ends_in_time) {
            return;
        }
    }
}
