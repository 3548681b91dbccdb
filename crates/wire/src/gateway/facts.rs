//! Facts: data that a gateway has and others may have missed, as a datagram.

use crate::gateway::loads;

/// First byte of a facts datagram.
pub const MARK: u8 = 4;

/// All leaving upstreams that the sender knows.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Facts {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Upstreams that stated that they are leaving.
    #[prost(message, optional, tag = "2")]
    pub leavings: Option<loads::LeavingProcesses>,
}
