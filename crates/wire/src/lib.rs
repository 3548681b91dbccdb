//! Messages between processes of the fleet.
//!
//! Owns their forms: those of owners are generated from `proto/peer.proto`, those of gateways are written
//! by hand. Sends and decides nothing.

pub mod gateway;

/// Messages and service between nodes that own upstreams.
#[allow(
    missing_docs,
    missing_debug_implementations,
    clippy::all,
    clippy::allow_attributes_without_reason,
    clippy::clone_on_ref_ptr,
    clippy::unwrap_used,
    reason = "generated code"
)]
pub mod peer {
    include!("generated/yokespoke.peer.v1.rs");
}
