//! The gateway: an entry node that sends requests straight to upstreams, under routes.
//!
//! All of it runs on one thread. What it knows comes from the platform's store or, when that turns
//! the node away, from other nodes; the decisions are those of [`steer::dispatch`].

pub mod catch_up;
pub mod cold_check;
pub mod connection_check;
pub mod connectivity;
pub mod control;
pub mod control_server;
pub mod datagram;
pub mod declarations;
pub mod demand_metrics;
pub mod dialect;
pub mod directory;
pub mod extracts;
pub mod facts;
pub mod fleet_keeper;
pub mod foreign;
pub mod heartbeat;
pub mod kept_ruling;
mod leaving_report;
pub mod load_report;
pub mod loads;
pub mod member;
pub mod members;
pub mod metrics;
pub mod organisation_metrics;
pub mod own_headers;
pub mod peer;
pub mod peer_check;
pub mod process;
pub mod proxy;
pub mod quarantine;
pub mod quarantine_keeper;
pub mod quarantine_report;
pub mod registration;
pub mod replica;
mod rollout_keeper;
mod rollout_report;
pub mod settings;
pub mod shutdown;
pub mod slots;
pub mod state;
pub mod stop_report;
pub mod store_calls;
pub mod sync;
pub mod thread;
pub mod unknown_headers;
