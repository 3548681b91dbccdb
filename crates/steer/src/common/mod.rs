//! Shared by both roles: traffic splits over regions, the limiter that moves them, and round robin.

pub mod ramp;
pub mod round_robin;
pub mod split;
