//! What a request asks of the dispatcher.

use std::time::Duration;

use model::id;
use model::route;

/// A request that needs an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Its route.
    pub route: &'a route::Route,
    /// The part of the route that it belongs to.
    pub service: &'a id::Service,
    /// Hash of the object it is about; of the request itself when it is about none.
    pub key: u64,
    /// Upstreams it was sent to before.
    pub tried: &'a [id::Upstream],
    /// Time it has left.
    pub left: Duration,
}
