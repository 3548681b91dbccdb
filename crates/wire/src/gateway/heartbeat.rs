//! Heartbeats: the state that a gateway publishes about itself, as a datagram.

/// First byte of a heartbeat datagram.
pub const MARK: u8 = 2;

/// Value of [`Heartbeat::copy_age_ms`] of a sender whose copy of the store may be outdated.
pub const NOT_CURRENT: u32 = u32::MAX;

/// A heartbeat; fields with a zero, false or empty value are omitted on the wire.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Start time of the sender, in milliseconds since the Unix epoch; increases with each start.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Increases with each heartbeat of an incarnation.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The sender's region.
    #[prost(string, tag = "4")]
    pub region: String,
    /// The sender's hall.
    #[prost(string, tag = "5")]
    pub hall: String,
    /// Socket address for callers.
    #[prost(string, tag = "6")]
    pub callers: String,
    /// Socket address for other gateways.
    #[prost(string, tag = "7")]
    pub peers: String,
    /// Whether the sender serves callers.
    #[prost(bool, tag = "8")]
    pub is_ready: bool,
    /// Whether the sender is stopping.
    #[prost(bool, tag = "9")]
    pub is_leaving: bool,
    /// Whether the sender watches the store and the store responded to its last call.
    #[prost(bool, tag = "10")]
    pub is_store_reached: bool,
    /// Revision of the store up to which the sender's copy is complete.
    #[prost(uint64, tag = "11")]
    pub at: u64,
    /// Processor capacity of the sender, in thousandths of a core.
    #[prost(uint32, tag = "12")]
    pub capacity: u32,
    /// Requests that the sender receives per second.
    #[prost(uint32, tag = "13")]
    pub requests: u32,
    /// Store era of the revision in `at`.
    #[prost(uint64, tag = "14")]
    pub era: u64,
    /// Digest of the leaving upstreams that the sender knows.
    #[prost(fixed64, tag = "15")]
    pub leavings: u64,
    /// Number of the sender's fleet; 0 if unknown.
    #[prost(fixed32, tag = "16")]
    pub fleet: u32,
    /// Whether the sender cannot connect to the upstreams of any service.
    #[prost(bool, tag = "17")]
    pub is_cut_off: bool,
    /// Hashes of the names of services whose upstreams the sender cannot connect to.
    #[prost(fixed32, repeated, tag = "18")]
    pub unreached: Vec<u32>,
    /// Time since the sender's copy was known to be complete, in milliseconds; [`NOT_CURRENT`] if the copy may be
    /// outdated. Absent in the previous version.
    #[prost(uint32, optional, tag = "19")]
    pub copy_age_ms: Option<u32>,
    /// Whether the sender receives heartbeats from another region.
    #[prost(bool, tag = "20")]
    pub has_far_contact: bool,
}
