//! The peers' face: heartbeats, configurations and requests between nodes.

pub mod carrier;
pub mod convert;
pub mod face;
pub mod heartbeats;
pub mod links;
