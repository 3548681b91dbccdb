//! What keeps a node up with the store and with the list of VMs.

pub mod keep;
pub mod vmlist;
