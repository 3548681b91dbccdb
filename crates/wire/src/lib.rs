//! Messages between nodes, generated from `proto/peer.proto`.

/// Messages and service of the peers' face.
#[allow(missing_docs, clippy::all, clippy::unwrap_used, reason = "generated code")]
pub mod peer {
    include!("generated/yokespoke.peer.v1.rs");
}
