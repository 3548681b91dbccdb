//! The platform's store: the edge, one client for it, and the duty that keeps up with it.

pub mod accept;
pub mod client;
pub mod edge;
pub mod keep;
pub mod vmlist;
