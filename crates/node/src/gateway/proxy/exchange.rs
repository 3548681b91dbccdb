//! Exchange with an upstream: one request and the response to it.
//!
//! Defines the order of the checks on a response. [`execution`] decides whether a response proves
//! that the request was executed.

use std::sync;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, Request, Response, header};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use model::load;
use model::routing;
use model::statement;
use platform::{field, framing};
use steer::dispatch::execution;

use crate::common::body;
use crate::common::metered;
use crate::gateway::dialect;
use crate::gateway::proxy::connection;

/// Header with the idle timeout of the upstream's connections.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Maximum size of a response body that is read completely before it is forwarded, in bytes; the
/// remainder of a larger one is streamed.
const MAX_BUFFERED_BYTES: usize = 512 * 1_024;

/// Idle timeout of a connection whose upstream does not announce one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time before the announced idle timeout from which a connection is no longer used.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_200);

/// Why an exchange returned no response to the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent.
    NotSent(String),
    /// Nothing was sent, because the upstream stopped accepting requests from this node.
    Withdrawn,
    /// Nothing was sent, because no connection is open and the upstream's group cannot be connected to.
    Unreached,
    /// Nothing was sent, because the response could not reach the caller before this node exits.
    Late,
    /// Nothing was sent, because this node lacks the resources for a connection.
    Shortage(String),
    /// The request was sent, its upstream was found out of reach before the response, and the request may be
    /// repeated. It may have been executed.
    Unanswered,
    /// The request was sent, and the connection was closed before the response. It may have been executed.
    Closed(String),
    /// The request was sent, and the received data is not a response to it. It may have been executed.
    Broken(String),
}

/// The body of a response.
#[derive(Debug)]
pub enum Payload {
    /// The complete body.
    Whole(Bytes),
    /// The beginning of the body; the remainder is still being received.
    Partial(Bytes, Incoming),
}

/// A response of an upstream to the request.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: Response<()>,
    /// The body.
    pub bytes: Payload,
    /// Whether the upstream executed the request.
    pub execution: execution::Execution,
    /// Load that the upstream reported.
    pub load: Option<load::Report>,
}

/// Sends a request on `connection` and reads the response. `observe` receives the statements of the
/// upstream about itself in the response headers. `out_of_reach` ends the wait for the response head; apart
/// from it, only the request's deadline limits the wait, because its upstream may work on it for long. A
/// head that has begun must end soon, and the connection may not receive much more than it hands on.
///
/// # Errors
///
/// Fails if no complete response to this request is received.
pub async fn run(
    connection: &mut connection::Connection,
    mut request: Request<body::Body>,
    request_id: &str,
    dialect: dialect::Dialect,
    rules: Option<&routing::ServiceRules>,
    observe: impl FnOnce(&statement::Statement, &HeaderMap),
    out_of_reach: impl Future<Output = ()>,
) -> Result<Answer, Failure> {
    let meter = sync::Arc::clone(&connection.meter);
    hyper::ext::on_informational(&mut request, {
        let meter = sync::Arc::clone(&meter);
        move |_| meter.record_interim()
    });
    let method = request.method().clone();
    meter.await_head();
    let response = tokio::select! {
        biased;
        response = connection.sender.try_send_request(request) => response,
        () = out_of_reach => return Err(Failure::Unanswered),
        () = meter.head_late() => return Err(broken(metered::LATE_HEAD)),
    };
    meter.record_progress();
    let mut response = response.map_err(|mut error| {
        let is_sent = error.take_message().is_none();
        let cause = error.into_error().to_string();
        match is_sent {
            true => Failure::Closed(cause),
            false => Failure::NotSent(cause),
        }
    })?;
    framing::check(&method, &mut response).map_err(|fault| broken(fault.as_str()))?;
    let (parts, incoming) = response.into_parts();
    let said = dialect.answer(&parts.headers, parts.status, rules);
    let (load, execution) = (said.statement.load, execution::execution(&said));
    let fault = execution::fault(&said, dialect.requirements(), request_id);
    // Called before the body is read, which may take long. A refusal is observed even if it does
    // not prove that the request was not executed.
    if fault.is_none() && execution != execution::Execution::Replaced {
        observe(&said.statement, &parts.headers);
    }
    let is_encoded = parts.headers.contains_key(header::CONTENT_ENCODING);
    match (fault, execution) {
        (Some(fault), _) => return Err(broken(fault.as_str())),
        (None, execution::Execution::Unproved) => {
            return Err(broken("refusal that proves nothing"));
        }
        (None, _) if is_encoded => return Err(broken("encoded answer")),
        (None, _) => {}
    }
    connection.idle_timeout = idle_timeout(&parts.headers);
    let bytes = read(incoming, &meter).await?;
    Ok(Answer { head: Response::from_parts(parts, ()), bytes, execution, load })
}

fn broken(cause: &str) -> Failure {
    Failure::Broken(cause.to_owned())
}

/// Returns the idle timeout of a connection after a response with these headers.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    let Some(parameters) = field::text(headers, &KEEP_ALIVE) else { return DEFAULT_IDLE_TIMEOUT };
    let seconds = parameters.split(',').find_map(|part| {
        let (name, value) = part.trim().split_once('=')?;
        (name.trim() == "timeout").then(|| value.trim().parse::<u64>().ok())?
    });
    seconds.map_or(DEFAULT_IDLE_TIMEOUT, |s| {
        Duration::from_secs(s).saturating_sub(IDLE_TIMEOUT_MARGIN)
    })
}

async fn read(mut incoming: Incoming, meter: &metered::Meter) -> Result<Payload, Failure> {
    let mut read = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|error| Failure::Closed(error.to_string()))?;
        meter.record_progress();
        let Ok(data) = frame.into_data() else { continue };
        read.extend_from_slice(&data);
        match read.len() > MAX_BUFFERED_BYTES {
            true if meter.is_cut_short() => return Err(broken(metered::CUT_SHORT)),
            true => return Ok(Payload::Partial(read.freeze(), incoming)),
            false => {}
        }
    }
    if meter.is_cut_short() {
        return Err(broken(metered::CUT_SHORT));
    }
    meter.record_end();
    Ok(Payload::Whole(read.freeze()))
}
