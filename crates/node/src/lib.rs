//! The node process: faces for callers, operators and peers around the decisions of `steer`.

pub mod answer;
pub mod body;
pub mod callers;
pub mod decider;
pub mod decisions;
pub mod duty;
pub mod failed;
pub mod gateway;
pub mod head;
pub mod log_writer;
pub mod logging;
pub mod node;
pub mod operators;
pub mod peers;
pub mod probes;
pub mod runner;
pub mod settings;
pub mod stats;
pub mod store;
pub mod view;
