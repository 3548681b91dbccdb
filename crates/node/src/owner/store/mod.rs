//! Follows the store and the list of VMs.

pub mod follower;
pub mod vmlist;
