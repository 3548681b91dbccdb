//! Identity of a request, by which a repetition of it is recognized.
//!
//! Computes the fingerprint of one request, and only if upstreams crashed while they ran this
//! request or a similar one, because hashing a long body takes time.

use std::cell;
use std::rc;
use std::sync;
use std::time::Instant;

use bytes::Bytes;
use model::discovery;
use model::fingerprint;
use model::id;
use steer::dispatch::execution;
use steer::dispatch::quarantine;

use crate::gateway::proxy::crash;
use crate::gateway::proxy::exchange;
use crate::gateway::proxy::head;
use crate::gateway::state;

/// Identity of one request.
#[derive(Debug)]
pub struct Identity<'a> {
    state: &'a rc::Rc<state::State>,
    head: &'a head::Head,
    organisation: Option<&'a id::Organisation>,
    /// Beginning of the body, kept here after the body is sent.
    body: Bytes,
    /// Hash of the request without its body, once it is computed.
    hash: cell::OnceCell<fingerprint::Head>,
    fingerprint: cell::OnceCell<fingerprint::Fingerprint>,
}

impl<'a> Identity<'a> {
    /// Creates the identity of a request of `organisation` whose body begins with `body`.
    #[must_use]
    pub fn new(
        state: &'a rc::Rc<state::State>,
        head: &'a head::Head,
        organisation: Option<&'a id::Organisation>,
        body: Bytes,
    ) -> Self {
        let (hash, fingerprint) = (cell::OnceCell::new(), cell::OnceCell::new());
        Self { state, head, organisation, body, hash, fingerprint }
    }

    /// Returns why the request is quarantined; `None` if it is not.
    #[must_use]
    pub fn check(&self) -> Option<quarantine::Hold> {
        self.suspect().and_then(|suspect| self.state.check_quarantine(&suspect))
    }

    /// Returns the hash that upstreams are selected by: that of the object, or of the request if it
    /// has no object.
    ///
    /// A request that was in flight at several crashes is sent to other upstreams than the rest of
    /// its object, so that further crashes show which request causes them.
    #[must_use]
    pub fn key(&self) -> u64 {
        let suspect = self.suspect();
        let quarantine = self.state.quarantine.borrow();
        match (suspect, self.head.object) {
            (Some(suspect), _) if quarantine.is_isolated(&suspect) => suspect.affinity_hash(),
            (_, Some(object)) => object,
            (_, None) => self.head.spread(),
        }
    }

    /// Records that an upstream completed the request, unless the response does not prove that.
    pub fn record_answer(&self, answer: &exchange::Answer) {
        let has_run = answer.execution == execution::Execution::Ran;
        let is_whole = matches!(answer.bytes, exchange::Payload::Whole(_));
        if !has_run || !is_whole || answer.head.status().is_server_error() {
            return;
        }
        if let Some(suspect) = self.suspect() {
            self.state.record_success(&suspect);
        }
    }

    /// Returns the request as it was sent to `upstream`.
    #[must_use]
    pub fn sent(&self, upstream: &sync::Arc<discovery::Entry>, at: Instant) -> crash::Sent {
        crash::Sent {
            upstream: sync::Arc::clone(upstream),
            request: self.head.request_id.clone(),
            fingerprint: self.fingerprint(),
            at,
        }
    }

    fn fingerprint(&self) -> fingerprint::Fingerprint {
        let of_request = || self.head.fingerprint(self.organisation, &self.body);
        *self.fingerprint.get_or_init(of_request)
    }

    /// Returns the fingerprint if upstreams crashed while they ran a request with the same head;
    /// `None` otherwise.
    fn suspect(&self) -> Option<fingerprint::Fingerprint> {
        let quarantine = self.state.quarantine.borrow();
        let hash = || *self.hash.get_or_init(|| self.head.hash(self.organisation));
        let is_concerned = quarantine.concerns(hash);
        is_concerned.then(|| self.fingerprint())
    }
}
