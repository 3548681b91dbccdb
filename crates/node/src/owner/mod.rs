//! A node that owns upstreams: its threads and sockets around the decisions of [`steer::ownership`].

pub mod answer;
pub mod callers;
pub mod event_loop;
pub mod failed;
pub mod handle;
pub mod in_flight;
pub mod io_thread;
pub mod node;
pub mod open;
pub mod operators;
pub mod peers;
pub mod probes;
pub mod runner;
pub mod settings;
pub mod stats;
pub mod stopping;
pub mod store;
pub mod turns;
pub mod view;
