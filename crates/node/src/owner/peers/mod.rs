//! Between nodes: heartbeats, configurations and forwarded requests.

pub mod connections;
pub mod convert;
pub mod forwarder;
pub mod heartbeats;
pub mod server;
