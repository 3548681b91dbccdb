//! Roles and timing of the nodes of a fleet.
//!
//! Each node decides locally from its list of members (see [`membership`]); nodes with the same
//! list reach the same decisions. The gateway's tasks own the member list and perform the I/O.
//!
//! The path of a change through the fleet:
//!
//! 1. [`watchers`] read it from the store, with the timeouts in [`store_call`].
//! 2. [`announcement`] and [`catch_up`] spread it, and [`repair`] delivers reports that a node
//!    missed.
//! 3. [`gossip`] sets how often nodes report, and [`representatives`] exchange reports between
//!    regions.
//! 4. [`lookup`] returns the nodes of the [`active_set`] to callers, chosen by their capacity and
//!    [`request_rate`].
//!
//! [`store_restore`] resolves conflicts after the store was restored from a backup copy.

pub mod active_set;
pub mod announcement;
pub mod catch_up;
pub mod freshness;
pub mod gossip;
pub mod lookup;
pub mod membership;
pub mod repair;
pub mod representatives;
pub mod request_rate;
pub mod store_call;
pub mod store_restore;
pub mod watchers;
