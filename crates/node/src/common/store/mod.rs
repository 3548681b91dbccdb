//! The store of yokespoke's own declarations: the edge, one client for it, and accepted changes.

pub mod accept;
pub mod client;
pub mod edge;
