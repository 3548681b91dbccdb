//! The proxy: callers' requests in, upstreams' whole answers out.

pub mod answer;
pub mod attempt;
pub mod connection;
pub mod crash;
pub mod exchange;
pub mod handler;
pub mod head;
pub mod identity;
pub mod in_flight;
pub mod listener;
pub mod pool;
pub mod presence;
pub mod relay;
pub mod request_body;
pub mod server;
pub mod trace;
pub mod tries;
