//! Loads: requests that one gateway, or a group of gateways, has in flight, as a datagram.

/// First byte of a loads datagram.
pub const MARK: u8 = 1;

/// Requests in flight per upstream, and request rates per organisation.
///
/// `upstreams` and `requests` are parallel lists, and so are `organisations` and the lists after it
/// up to `debts`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Loads {
    /// Name of the sender, or of the group whose loads are summed.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Hashes of the upstream names.
    #[prost(fixed32, repeated, tag = "2")]
    pub upstreams: Vec<u32>,
    /// Requests in flight at each upstream.
    #[prost(uint32, repeated, tag = "3")]
    pub requests: Vec<u32>,
    /// Hashes of the organisation names; 0 for the total over all organisations.
    #[prost(fixed32, repeated, tag = "4")]
    pub organisations: Vec<u32>,
    /// Request rate of each organisation at the sender, in hundredths of a request per second.
    ///
    /// Shifted left by one bit; the lowest bit is set if the organisation is near its limit.
    #[prost(uint32, repeated, tag = "5")]
    pub asked: Vec<u32>,
    /// Admitted request rate of each organisation at the sender, in hundredths of a request per
    /// second.
    #[prost(uint32, repeated, tag = "6")]
    pub admitted: Vec<u32>,
    /// Requests that the sender recently admitted beyond its share of each limit, in hundredths.
    #[prost(uint32, repeated, tag = "7")]
    pub excess: Vec<u32>,
    /// Requests admitted in the fleet beyond each limit, as known to the sender, in hundredths.
    #[prost(uint32, repeated, tag = "8")]
    pub debts: Vec<u32>,
    /// Request rates to upstreams that announce rate limits.
    #[prost(message, optional, tag = "9")]
    pub sends: Option<Sends>,
    /// Rate limits that upstreams announce.
    #[prost(message, optional, tag = "10")]
    pub limits: Option<Limits>,
    /// Upstreams that stated that they are leaving.
    #[prost(message, optional, tag = "11")]
    pub leavings: Option<LeavingProcesses>,
    /// Counts of answers by version, for services whose version is being rolled out.
    #[prost(message, repeated, tag = "12")]
    pub rollouts: Vec<RolloutAnswers>,
    /// Requests in flight that hold a slot.
    #[prost(message, optional, tag = "13")]
    pub held: Option<Counts>,
    /// Asks for slots that are queued at the sender, which owns the slots of these upstreams.
    #[prost(message, optional, tag = "14")]
    pub queued: Option<Counts>,
    /// Rates of requests that arrive in each region for each service.
    #[prost(message, optional, tag = "15")]
    pub demand: Option<Demand>,
    /// Upstreams on which work takes long at this moment.
    #[prost(message, optional, tag = "16")]
    pub slow: Option<SlowUpstreams>,
}

/// Upstreams on which work takes long at this moment, as parallel lists.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SlowUpstreams {
    /// Hashes of the upstream names.
    #[prost(fixed32, repeated, tag = "1")]
    pub upstreams: Vec<u32>,
    /// How long work takes, in percent of the usual time.
    #[prost(uint32, repeated, tag = "2")]
    pub percents: Vec<u32>,
}

/// Rates of callers' requests by region and service, retries by gateways not counted, as parallel lists.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Demand {
    /// Hashes of the region in which the requests arrive and their service.
    #[prost(fixed32, repeated, tag = "1")]
    pub keys: Vec<u32>,
    /// Requests per second, in hundredths.
    #[prost(uint32, repeated, tag = "2")]
    pub rates: Vec<u32>,
}

/// Counts by upstream, as parallel lists.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Counts {
    /// Hashes of the upstream names.
    #[prost(fixed32, repeated, tag = "1")]
    pub upstreams: Vec<u32>,
    /// Count of each upstream.
    #[prost(uint32, repeated, tag = "2")]
    pub counts: Vec<u32>,
}

/// Counts of answers of a new version and of the old ones in one stage of a roll-out, by route, as
/// parallel lists.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RolloutAnswers {
    /// Hash of the service, the order and the stage.
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// Hashes of the route names.
    #[prost(fixed32, repeated, tag = "2")]
    pub routes: Vec<u32>,
    /// Answers of the new version on each route.
    #[prost(uint32, repeated, tag = "3")]
    pub new_answers: Vec<u32>,
    /// Failures among them.
    #[prost(uint32, repeated, tag = "4")]
    pub new_failed: Vec<u32>,
    /// Slow answers among them.
    #[prost(uint32, repeated, tag = "5")]
    pub new_slow: Vec<u32>,
    /// Answers of the old versions on each route.
    #[prost(uint32, repeated, tag = "6")]
    pub old_answers: Vec<u32>,
    /// Failures among them.
    #[prost(uint32, repeated, tag = "7")]
    pub old_failed: Vec<u32>,
    /// Slow answers among them.
    #[prost(uint32, repeated, tag = "8")]
    pub old_slow: Vec<u32>,
}

/// Request rates to upstreams that announce rate limits, in the units of [`Loads`], as parallel
/// lists.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Sends {
    /// Hashes of the upstream names; 0 for the total over all requests.
    #[prost(fixed32, repeated, tag = "1")]
    pub upstreams: Vec<u32>,
    /// Requested rate per upstream, shifted left by one bit; the lowest bit is set if it is near
    /// its limit.
    #[prost(uint32, repeated, tag = "2")]
    pub asked: Vec<u32>,
    /// Rate at which the sender sends to each upstream.
    #[prost(uint32, repeated, tag = "3")]
    pub admitted: Vec<u32>,
    /// Requests that the sender recently sent beyond its share of each limit.
    #[prost(uint32, repeated, tag = "4")]
    pub excess: Vec<u32>,
    /// Requests that each upstream received beyond its limit, as known to the sender.
    #[prost(uint32, repeated, tag = "5")]
    pub debts: Vec<u32>,
}

/// Rate limits that upstreams announce, as parallel lists.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Limits {
    /// Hashes of the upstream names.
    #[prost(fixed32, repeated, tag = "1")]
    pub upstreams: Vec<u32>,
    /// Requests per second; negative if the upstream has withdrawn its limit.
    #[prost(double, repeated, tag = "2")]
    pub rates: Vec<f64>,
    /// Time since the response that stated it, in milliseconds.
    #[prost(uint32, repeated, tag = "3")]
    pub ages: Vec<u32>,
}

/// Upstream processes that stated that they are leaving, as parallel lists.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeavingProcesses {
    /// Names of the upstreams; with hashes, a collision would permanently exclude the wrong
    /// upstream.
    #[prost(string, repeated, tag = "1")]
    pub upstreams: Vec<String>,
    /// Start time of each process, in milliseconds since the Unix epoch; 0 if unknown.
    #[prost(uint64, repeated, tag = "2")]
    pub born: Vec<u64>,
    /// Time since the response that stated it, in milliseconds.
    #[prost(uint32, repeated, tag = "3")]
    pub ages: Vec<u32>,
}
