//! Loads: the requests that a gateway, or several, have in flight, as a datagram.

/// First byte of a datagram that holds loads.
pub const MARK: u8 = 1;

/// Requests in flight at upstreams, and what organisations ask; lists that belong together have the same length and order.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Loads {
    /// The sender, or a name for the sum of several.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Hashes of the upstreams' names.
    #[prost(fixed32, repeated, tag = "2")]
    pub upstreams: Vec<u32>,
    /// Requests in flight at each upstream.
    #[prost(uint32, repeated, tag = "3")]
    pub requests: Vec<u32>,
    /// Hashes of organisations' names; 0 for all of them together.
    #[prost(fixed32, repeated, tag = "4")]
    pub organisations: Vec<u32>,
    /// What each asks of the sender, in hundredths of a request a second, twice; odd where it is near its limit.
    #[prost(uint32, repeated, tag = "5")]
    pub asked: Vec<u32>,
    /// What each is admitted by the sender, in hundredths of a request a second.
    #[prost(uint32, repeated, tag = "6")]
    pub admitted: Vec<u32>,
    /// What the sender admitted of each beyond its part of the limit in the last moments, in hundredths of a request.
    #[prost(uint32, repeated, tag = "7")]
    pub excess: Vec<u32>,
    /// What each owes the fleet, as the sender knows it, in hundredths of a request.
    #[prost(uint32, repeated, tag = "8")]
    pub debts: Vec<u32>,
    /// What is sent to upstreams that name limits.
    #[prost(message, optional, tag = "9")]
    pub sends: Option<Sends>,
    /// What upstreams name.
    #[prost(message, optional, tag = "10")]
    pub limits: Option<Limits>,
    /// Upstreams that said that they leave.
    #[prost(message, optional, tag = "11")]
    pub leavings: Option<Leavings>,
}

/// What is sent to upstreams that name limits, in the units of [`Loads`]; all lists have the same length and order.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Sends {
    /// Hashes of the upstreams' names; 0 for all requests together.
    #[prost(fixed32, repeated, tag = "1")]
    pub upstreams: Vec<u32>,
    /// What would go to each, twice; odd where it is near its limit.
    #[prost(uint32, repeated, tag = "2")]
    pub asked: Vec<u32>,
    /// What the sender sends to each.
    #[prost(uint32, repeated, tag = "3")]
    pub admitted: Vec<u32>,
    /// What it sent to each beyond its part of the limit in the last moments.
    #[prost(uint32, repeated, tag = "4")]
    pub excess: Vec<u32>,
    /// What each got beyond its limit, as the sender knows it.
    #[prost(uint32, repeated, tag = "5")]
    pub debts: Vec<u32>,
}

/// The limits that upstreams name; all lists have the same length and order.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Limits {
    /// Hashes of the upstreams' names.
    #[prost(fixed32, repeated, tag = "1")]
    pub upstreams: Vec<u32>,
    /// Requests a second; negative where an upstream names no limit any more.
    #[prost(double, repeated, tag = "2")]
    pub rates: Vec<f64>,
    /// Time since an answer said so, in milliseconds.
    #[prost(uint32, repeated, tag = "3")]
    pub ages: Vec<u32>,
}

/// Processes of upstreams that said that they leave; all lists have the same length and order.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Leavings {
    /// The upstreams' names: a hash that two share would end the use of the other one for good.
    #[prost(string, repeated, tag = "1")]
    pub upstreams: Vec<String>,
    /// When each process started, in milliseconds since 1970; 0 where that is not known.
    #[prost(uint64, repeated, tag = "2")]
    pub born: Vec<u64>,
    /// Time since an answer said so, in milliseconds.
    #[prost(uint32, repeated, tag = "3")]
    pub ages: Vec<u32>,
}
