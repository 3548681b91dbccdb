//! Decisions: which region and which upstream take a request, and when it is held or refused.
//!
//! A folder for each role of a process, and one for what both use. Nothing here performs input or
//! output, reads a clock, takes a lock or draws a random number: an event and a time go in, what to
//! do comes out.

pub mod common;
pub mod dispatch;
pub mod ownership;
