//! Heartbeats: what a gateway says about itself, as a datagram.

/// First byte of a datagram that holds a heartbeat.
pub const MARK: u8 = 2;

/// A heartbeat; fields at zero, false or empty are left out.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// The sender.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Time of the sender's start, in milliseconds since 1970 (UTC); grows with each start.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Grows with each heartbeat of an incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The sender's region.
    #[prost(string, tag = "4")]
    pub region: String,
    /// The sender's hall.
    #[prost(string, tag = "5")]
    pub hall: String,
    /// Socket address for callers, as text.
    #[prost(string, tag = "6")]
    pub callers: String,
    /// Socket address for other gateways, as text.
    #[prost(string, tag = "7")]
    pub peers: String,
    /// Whether the sender serves callers.
    #[prost(bool, tag = "8")]
    pub is_ready: bool,
    /// Whether the sender is stopping.
    #[prost(bool, tag = "9")]
    pub is_leaving: bool,
    /// Whether the sender watches the store, and the store answered its last call.
    #[prost(bool, tag = "10")]
    pub is_store_reached: bool,
    /// Revision of the store up to which the sender's copy is complete.
    #[prost(uint64, tag = "11")]
    pub at: u64,
    /// The sender's processor, in thousandths of a core.
    #[prost(uint32, tag = "12")]
    pub capacity: u32,
    /// Requests that the sender takes a second.
    #[prost(uint32, tag = "13")]
    pub requests: u32,
    /// The era of the revision in `at`.
    #[prost(uint64, tag = "14")]
    pub era: u64,
    /// Digest of the upstreams that the sender knows to leave.
    #[prost(fixed64, tag = "15")]
    pub leavings: u64,
    /// The number of the sender's fleet; 0 where it is not known.
    #[prost(fixed32, tag = "16")]
    pub fleet: u32,
}
