//! One exchange with an upstream: a request, and the whole answer to it.
//!
//! Owns the order of the checks on an answer; relies on [`execution`] for what it proves.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderName, Request, Response, header};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use model::load;
use model::routing;
use model::statement;
use platform::field;
use steer::dispatch::execution;

use crate::common::body;
use crate::gateway::dialect;
use crate::gateway::proxy::connection;

/// Header by which an upstream says how long it keeps a resting connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Largest answer that is read whole before it is passed on, in bytes; the rest of a larger one is
/// streamed.
const LARGEST_KEPT: usize = 512 * 1_024;

/// Time that a connection may rest whose upstream names no limit.
const USUAL_REST: Duration = Duration::from_secs(4);

/// Time before an upstream's limit from which a resting connection is no longer used.
const REST_MARGIN: Duration = Duration::from_millis(1_200);

/// How an exchange ended without an answer to the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent.
    NotSent(String),
    /// Nothing was sent, since the upstream takes no more requests of this node meanwhile.
    Withdrawn,
    /// Nothing was sent, since no connection is open and none to the service comes up.
    Unreached,
    /// It was sent, and the connection ended before the answer; it may have run.
    Closed(String),
    /// It was sent, and what came is no answer to it; it may have run.
    Broken(String),
}

/// The body of an answer.
#[derive(Debug)]
pub enum Payload {
    /// All of it.
    Whole(Bytes),
    /// Its beginning; the rest is still arriving.
    Partial(Bytes, Incoming),
}

/// An upstream's answer to the request that was sent.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: Response<()>,
    /// The body.
    pub bytes: Payload,
    /// Whether the upstream ran the request.
    pub execution: execution::Execution,
    /// Load that the upstream reports.
    pub load: Option<load::Report>,
}

/// Sends a request on `connection` and reads the answer; `observe` gets what the upstream says of itself in its head.
///
/// # Errors
///
/// Fails when no whole answer to this request came.
pub async fn run(
    connection: &mut connection::Connection,
    request: Request<body::Body>,
    request_id: &str,
    dialect: dialect::Dialect,
    rules: Option<&routing::ServiceRules>,
    observe: impl FnOnce(&statement::Statement, &HeaderMap),
) -> Result<Answer, Failure> {
    let response = connection.sender.try_send_request(request).await.map_err(|mut error| {
        let is_sent = error.take_message().is_none();
        let cause = error.into_error().to_string();
        match is_sent {
            true => Failure::Closed(cause),
            false => Failure::NotSent(cause),
        }
    })?;
    let (parts, incoming) = response.into_parts();
    let said = dialect.answer(&parts.headers, parts.status, rules);
    let (load, execution) = (said.statement.load, execution::execution(&said));
    let fault = execution::fault(&said, dialect.requirements(), request_id);
    // Before the body, which may take long. A refusal counts even where it does not prove that nothing ran.
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
    connection.rest = rest(&parts.headers);
    let bytes = read(incoming).await?;
    Ok(Answer { head: Response::from_parts(parts, ()), bytes, execution, load })
}

fn broken(cause: &str) -> Failure {
    Failure::Broken(cause.to_owned())
}

/// Returns how long a connection may rest after this answer.
fn rest(headers: &HeaderMap) -> Duration {
    let Some(parameters) = field::text(headers, &KEEP_ALIVE) else { return USUAL_REST };
    let seconds = parameters.split(',').find_map(|part| {
        let (name, value) = part.trim().split_once('=')?;
        (name.trim() == "timeout").then(|| value.trim().parse::<u64>().ok())?
    });
    seconds.map_or(USUAL_REST, |s| Duration::from_secs(s).saturating_sub(REST_MARGIN))
}

async fn read(mut incoming: Incoming) -> Result<Payload, Failure> {
    let mut read = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|error| Failure::Closed(error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        read.extend_from_slice(&data);
        if read.len() > LARGEST_KEPT {
            return Ok(Payload::Partial(read.freeze(), incoming));
        }
    }
    Ok(Payload::Whole(read.freeze()))
}
