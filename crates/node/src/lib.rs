//! The process of an entry VM: sockets, tasks and threads around the decisions of `steer`.
//!
//! A folder for each role of a process, and one for what both use.

pub mod common;
pub mod gateway;
pub mod owner;
