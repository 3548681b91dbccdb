//! Decision logic: which region and upstream take a request, and when a request waits or is
//! refused.
//!
//! One module per process role, and one for the code that both roles share. This crate performs no
//! I/O, reads no clock, takes no locks and draws no random numbers: events and times are passed in,
//! and decisions are returned.

pub mod common;
pub mod dispatch;
pub mod ownership;
