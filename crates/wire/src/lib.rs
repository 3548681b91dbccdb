//! Messages between nodes, generated from `proto/peer.proto`.

/// Messages and service of the peers' face.
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
