//! Request heads: how the gateway reads and forwards them.
//!
//! Rejects ambiguous heads and removes headers of a single hop. [`dialect`] defines the headers of
//! the deployment.

use std::net;
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderName, HeaderValue, Request, Uri, header, request};
use model::fingerprint;
use model::id;
use model::key;
use xxhash_rust::xxh3;

use crate::common::head as names;
use crate::gateway::dialect;
use crate::gateway::own_headers;

/// Why a request with this head is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The host is missing or given more than once.
    Host,
    /// The body's length is given in two ways.
    Length,
    /// The request has several different IDs.
    RequestId,
}

impl Fault {
    /// Returns the value of the log key `reason`.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Host => "bad-host",
            Self::Length => "ambiguous-length",
            Self::RequestId => "ambiguous-request-name",
        }
    }
}

/// What the gateway reads of a request's head.
#[derive(Clone, Debug)]
pub struct Head {
    /// The requested host.
    pub host: String,
    /// The ID of the request; empty if it has none.
    pub request_id: String,
    /// Time that the caller waits, counted from the arrival; `None` if the request does not state it.
    pub deadline: Option<Duration>,
    /// Source address of the caller's connection.
    pub caller: net::IpAddr,
    /// Time of arrival.
    pub arrived: Instant,
    /// Hash of the request's object; `None` if it has none.
    pub object: Option<u64>,
    /// Digest of the request's key, if any; the key itself is not stored.
    pub key: key::Credential,
    dialect: dialect::Dialect,
    parts: request::Parts,
}

impl Head {
    /// Reads a head.
    ///
    /// # Errors
    ///
    /// Fails if the head is ambiguous or incomplete.
    pub fn read(
        mut parts: request::Parts,
        caller: net::IpAddr,
        arrived: Instant,
        dialect: dialect::Dialect,
    ) -> Result<Self, Fault> {
        let host = host(&parts)?;
        check_length(&parts.headers)?;
        let said = dialect.request(&parts.headers).map_err(|_| Fault::RequestId)?;
        let request_id = said.id.to_owned();
        let deadline = said.wait;
        let object = said.object.map(|object| xxh3::xxh3_64(object.as_bytes()));
        let key = said.key;
        // Removes the key, so that it cannot be logged or forwarded.
        dialect.strip(&mut parts.headers);
        Ok(Self { host, request_id, deadline, caller, arrived, object, key, dialect, parts })
    }

    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.parts.uri.path()
    }

    /// Returns the hash that upstreams are selected by if the request has no object.
    #[must_use]
    pub fn spread(&self) -> u64 {
        xxh3::xxh3_64(self.request_id.as_bytes())
    }

    /// Returns the fingerprint of the request of `organisation` whose body begins with `body`.
    #[must_use]
    pub fn fingerprint(
        &self,
        organisation: Option<&id::Organisation>,
        body: &[u8],
    ) -> fingerprint::Fingerprint {
        let sender = fingerprint::CallerIdentity { address: self.caller, object: self.object };
        fingerprint::Fingerprint::of(&self.asked(organisation, body), &sender)
    }

    /// Returns the hash of the request of `organisation` without its body.
    #[must_use]
    pub fn hash(&self, organisation: Option<&id::Organisation>) -> fingerprint::Head {
        self.asked(organisation, &[]).head()
    }

    fn asked<'a>(
        &'a self,
        organisation: Option<&'a id::Organisation>,
        body: &'a [u8],
    ) -> fingerprint::RequestContent<'a> {
        fingerprint::RequestContent {
            method: self.parts.method.as_str(),
            host: &self.host,
            target: self.parts.uri.path_and_query().map_or("/", |target| target.as_str()),
            organisation: organisation.map(id::Organisation::as_str),
            body,
            length: self.length(),
        }
    }

    /// Returns the declared length of the body.
    #[must_use]
    pub fn length(&self) -> Option<u64> {
        let value = self.parts.headers.get(header::CONTENT_LENGTH)?;
        // The HTTP library refuses a length that is no number before a head gets here.
        value.to_str().ok()?.parse().ok()
    }

    /// Makes the request that is sent to `upstream` with `left` to go, for `organisation`.
    #[must_use]
    pub fn to_upstream<B>(
        &self,
        upstream: &id::Upstream,
        left: Duration,
        organisation: Option<&id::Organisation>,
        body: B,
    ) -> Request<B> {
        let mut request = Request::new(body);
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = origin_form(&self.parts.uri);
        let sent = request.headers_mut();
        *sent = self.parts.headers.clone();
        clean(sent, self.dialect);
        // The value was read from a header or a target, so it is a valid header value.
        if let Ok(host) = HeaderValue::from_str(&self.host) {
            sent.insert(header::HOST, host);
        }
        self.dialect.address(sent, upstream, left, organisation);
        request
    }
}

/// Returns the target without scheme and authority, byte for byte.
fn origin_form(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => Uri::from_static("/"),
    }
}

fn host(parts: &request::Parts) -> Result<String, Fault> {
    let mut hosts = parts.headers.get_all(header::HOST).iter();
    let first = hosts.next().ok_or(Fault::Host)?;
    if hosts.next().is_some() {
        return Err(Fault::Host);
    }
    // An absolute target overrides the header (RFC 9112, section 3.2.2).
    match parts.uri.authority() {
        Some(authority) => Ok(authority.as_str().to_owned()),
        None => Ok(first.to_str().map_err(|_| Fault::Host)?.to_owned()),
    }
}

fn check_length(headers: &HeaderMap) -> Result<(), Fault> {
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    match lengths > 1 {
        true => Err(Fault::Length),
        false => Ok(()),
    }
}

/// Removes the headers of one connection and those that only this system may set.
pub fn clean(headers: &mut HeaderMap, dialect: dialect::Dialect) {
    let is_protected = |name: &HeaderName| PROTECTED.contains(name) || dialect.is_request_id(name);
    names::remove_hop(headers, is_protected);
    dialect.strip(headers);
}

/// Headers that no connection option may remove.
const PROTECTED: [HeaderName; 3] = [header::CONTENT_LENGTH, header::HOST, header::COOKIE];

/// Removes from a response the headers of the upstream's connection and those that only yokespoke may set.
///
/// A caller goes by the verdict on whether its request has run, so an upstream must not write it.
/// It also goes by what names its request and what proves the answer, so these stay whatever the
/// upstream's connection names.
pub fn clean_answer(headers: &mut HeaderMap) {
    let is_proof = |name: &HeaderName| dialect::Dialect::ALL.iter().any(|d| d.is_proof(name));
    names::remove_hop(headers, |name| PROTECTED.contains(name) || is_proof(name));
    own_headers::strip(headers);
}
