//! Slots: asks for slots of upstreams, their answers and releases, as a datagram.

/// First byte of a slots datagram.
pub const MARK: u8 = 5;

/// Asks, releases and answers of one node to another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Slots {
    /// Asks for slots.
    #[prost(message, repeated, tag = "1")]
    pub asks: Vec<Ask>,
    /// Slots that are no longer used, and asks that are withdrawn.
    #[prost(message, repeated, tag = "2")]
    pub releases: Vec<Release>,
    /// Answers to asks.
    #[prost(message, repeated, tag = "3")]
    pub answers: Vec<Answer>,
    /// Name of the sender. It is encoded last, so that a truncated datagram lacks it and is rejected.
    #[prost(string, tag = "15")]
    pub node: String,
}

/// The node that asked, in an ask or release that another node forwards.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Asker {
    /// Its name.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Its socket address for other gateways, which the answer is sent to.
    #[prost(string, tag = "2")]
    pub peers: String,
}

/// Ask for a slot of an upstream. Times are in microseconds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ask {
    /// Identifies the ask among those of its node.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Hash of the upstream's name.
    #[prost(fixed32, tag = "2")]
    pub upstream: u32,
    /// Priority of the organisation; 0 is the most urgent.
    #[prost(uint32, tag = "3")]
    pub organisation_priority: u32,
    /// Priority of the route; 0 is the most urgent.
    #[prost(uint32, tag = "4")]
    pub route_priority: u32,
    /// Hash of the organisation's name; 0 without an organisation.
    #[prost(fixed32, tag = "5")]
    pub organisation: u32,
    /// Maximum time in the queue.
    #[prost(uint64, tag = "6")]
    pub max_wait: u64,
    /// Expected processing time at the upstream.
    #[prost(uint64, tag = "7")]
    pub work: u64,
    /// Time until the request's deadline.
    #[prost(uint64, tag = "8")]
    pub time_left: u64,
    /// The node that asked; absent unless the ask is forwarded.
    #[prost(message, optional, tag = "9")]
    pub asker: Option<Asker>,
}

/// Release of a slot, or withdrawal of an ask.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Release {
    /// Id of the ask.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Hash of the upstream's name.
    #[prost(fixed32, tag = "2")]
    pub upstream: u32,
    /// The node that asked; absent unless the release is forwarded.
    #[prost(message, optional, tag = "3")]
    pub asker: Option<Asker>,
}

/// Answer of the slot owner to an ask.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Answer {
    /// Id of the ask.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Hash of the upstream's name.
    #[prost(fixed32, tag = "2")]
    pub upstream: u32,
    /// The reply.
    #[prost(enumeration = "Reply", tag = "3")]
    pub reply: i32,
    /// Time after which a retry is worthwhile, in microseconds; 0 unless the ask is refused.
    #[prost(uint64, tag = "4")]
    pub retry_after: u64,
    /// Number of asks that were ahead of it; 0 unless the ask is refused.
    #[prost(uint32, tag = "5")]
    pub position: u32,
}

/// Reply to an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Reply {
    /// No reply, which is malformed.
    Unspecified = 0,
    /// The slot is held; the request is to be sent now.
    Granted = 1,
    /// No slot is free; another answer follows.
    Queued = 2,
    /// The request is refused.
    Refused = 3,
    /// The sender grants no slots of this upstream.
    Declined = 4,
}
