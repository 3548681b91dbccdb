//! Fleet: which nodes of a fleet do what for the others, and when.
//!
//! Each node decides alone from the members that it knows ([`membership`] says who is one); nodes that know the same decide alike. The
//! gateway's tasks own the members and perform the I/O. In the order of a change's way: [`watchers`] read
//! it from the store by [`store_call`]s, [`announcement`] and [`catch_up`] spread it, [`repair`] brings what a node missed, [`gossip`] sets how often nodes report,
//! [`representatives`] report between regions, and [`lookup`] names nodes of the [`active_set`] to callers, by the [`request_rate`] of each.

pub mod active_set;
pub mod announcement;
pub mod catch_up;
pub mod doubt;
pub mod gossip;
pub mod lookup;
pub mod membership;
pub mod repair;
pub mod representatives;
pub mod request_rate;
pub mod store_call;
pub mod watchers;
