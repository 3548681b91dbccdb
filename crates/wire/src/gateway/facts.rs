//! Facts: what a gateway knows that others may have missed, as a datagram.

use crate::gateway::loads;

/// First byte of a datagram that holds facts.
pub const MARK: u8 = 4;

/// All that the sender knows of upstreams that leave.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Facts {
    /// The sender.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Upstreams that said that they leave.
    #[prost(message, optional, tag = "2")]
    pub leavings: Option<loads::Leavings>,
}
