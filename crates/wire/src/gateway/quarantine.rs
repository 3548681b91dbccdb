//! Quarantine reports: requests that were in flight at crashes, and quarantined requests, as a
//! datagram.
//!
//! Times are sent as ages in milliseconds at the time of encoding, because nodes do not share a
//! clock.

/// First byte of a quarantine datagram.
pub const MARK: u8 = 3;

/// Report of crashes and of quarantine decisions.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Report {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Requests that were in flight at crashes.
    #[prost(message, repeated, tag = "2")]
    pub sightings: Vec<Sighting>,
    /// Requests that completed after they had been in flight at crashes.
    #[prost(message, repeated, tag = "3")]
    pub cleared: Vec<Request>,
    /// Quarantine decisions, including those that end a quarantine.
    #[prost(message, repeated, tag = "4")]
    pub rulings: Vec<Ruling>,
}

/// Fingerprint of a request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Request {
    /// Hash of the request content, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub content: Vec<u8>,
    /// Hash of the caller; absent for any caller.
    #[prost(fixed64, optional, tag = "2")]
    pub caller: Option<u64>,
}

/// A request that was in flight at an upstream when it crashed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Sighting {
    /// The request.
    #[prost(message, optional, tag = "1")]
    pub request: Option<Request>,
    /// Hash of the upstream's name and start time.
    #[prost(fixed64, tag = "2")]
    pub start: u64,
    /// Hash of the upstream's service name.
    #[prost(fixed32, tag = "3")]
    pub service: u32,
    /// Number of upstreams of that service.
    #[prost(uint32, tag = "4")]
    pub upstreams: u32,
    /// Time since the request was sent to the upstream.
    #[prost(uint64, tag = "5")]
    pub sent_ms: u64,
    /// Time since the crash.
    #[prost(uint64, tag = "6")]
    pub crashed_ms: u64,
}

/// Decision whether requests are quarantined.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ruling {
    /// The requests.
    #[prost(message, optional, tag = "1")]
    pub request: Option<Request>,
    /// Increases with each decision on these requests.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Whether the requests are quarantined.
    #[prost(bool, tag = "3")]
    pub is_held: bool,
    /// Number of crashes that the decision is based on.
    #[prost(uint32, tag = "4")]
    pub crashes: u32,
    /// Time since the decision.
    #[prost(uint64, tag = "5")]
    pub since_ms: u64,
    /// Time since such a request was last received.
    #[prost(uint64, tag = "6")]
    pub asked_ms: u64,
}
