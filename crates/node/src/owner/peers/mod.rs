//! The peers' face: beats, configurations and requests between nodes.

pub mod beats;
pub mod carrier;
pub mod convert;
pub mod face;
pub mod links;
