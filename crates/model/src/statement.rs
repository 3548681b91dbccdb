//! State that an upstream reports about itself in a response head.

use crate::leaving;
use crate::limit;
use crate::load;
use crate::rest;

/// State that an upstream reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statement {
    /// Load at the time of the response.
    pub load: Option<load::Report>,
    /// Limit on the requests per second from all nodes.
    pub limit: limit::Field,
    /// Whether the upstream is leaving.
    pub leaving: leaving::Field,
    /// Time for which this sender must send no requests.
    pub rest: rest::Field,
}
