//! One request: from its head to an upstream's answer, or to the gateway's own.

use std::time::Duration;

use http::{HeaderValue, Request, Response, header, request};
use hyper::body::Incoming;

use crate::common::body;
use crate::gateway::proxy::answer;
use crate::gateway::proxy::head;
use crate::gateway::proxy::request_body;
use crate::gateway::proxy::server;
use crate::gateway::proxy::trace;
use crate::gateway::proxy::tries;

/// Answers one request.
pub async fn handle(server: &server::Server, request: Request<Incoming>) -> Response<body::Body> {
    let _open = server.open.request();
    server.state.metrics.requests.add(1);
    let (parts, incoming) = request.into_parts();
    let is_chunked = parts.headers.contains_key(header::TRANSFER_ENCODING);
    let mut trace = trace::Trace::new(&server.state);
    let mut response = match serve(server, parts, incoming, &mut trace).await {
        Ok(response) => {
            trace.answered(response.status());
            response
        }
        Err(reason) => {
            trace.refused(reason);
            answer::make(reason, server.state.dialect)
        }
    };
    // A length beside the chunks, which the HTTP library does not show, may hide a second request
    // behind the first (RFC 9112, section 6.1), so nothing more is read from such a connection.
    if is_chunked || server.state.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn serve(
    server: &server::Server,
    parts: request::Parts,
    incoming: Incoming,
    trace: &mut trace::Trace,
) -> Result<Response<body::Body>, answer::Reason> {
    let head = head::Head::read(parts, trace.arrived(), server.state.dialect)
        .map_err(|fault| answer::Reason::BadHead(fault.as_str()))?;
    trace.set_request(&head.request_id);
    let routing = server.state.routing().ok_or(answer::Reason::NoConfiguration)?;
    trace.set_version(routing.version);
    let found = routing.find(&head.host, head.path());
    let route = found.cloned().ok_or(answer::Reason::NoRoute)?;
    trace.set_route(route.name.as_str());
    let time = head.deadline.unwrap_or(route.timeout).min(route.timeout);
    let deadline = head.arrived + time;
    let most = routing.limits.body_bytes;
    if head.length().is_some_and(|length| length > most) {
        return Err(answer::Reason::TooLarge);
    }
    let read = request_body::Body::read(incoming, most, server.open.requests());
    let read = tokio::time::timeout_at(deadline.into(), read).await;
    let body = match read {
        Ok(Ok(body)) => body,
        Ok(Err(request_body::Fault::TooLarge)) => return Err(answer::Reason::TooLarge),
        Ok(Err(request_body::Fault::Cut)) => return Err(answer::Reason::BodyCut),
        Err(_) => return Err(answer::Reason::BodyLate),
    };
    let service = server.state.dispatcher.borrow_mut().pick_service(&route);
    let service = service.ok_or(NO_SERVICE)?;
    trace.set_service(&service);
    let rules = routing.services.get(&service).cloned();
    let mut tries = tries::Tries::new(server, &head, &route, service, rules, body, deadline);
    let outcome = tokio::time::timeout_at(deadline.into(), tries.run()).await;
    let outcome = outcome.unwrap_or_else(|_| Err(tries.expired()));
    trace.set_tries(tries.tried(), tries.inputs());
    outcome
}

/// A route whose parts all have no weight.
const NO_SERVICE: answer::Reason = answer::Reason::NotRun("no-service", Duration::from_millis(200));
