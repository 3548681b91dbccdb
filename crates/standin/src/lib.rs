//! Small stand-ins for what yokespoke meets: the platform's store and VM list, and upstreams.
//!
//! They serve tests and the demo. Each can be made to fail on command, and the upstreams keep the
//! record of truth: what ran, how often, and how many requests each held at once.

pub mod client;
pub mod control;
pub mod pattern;
pub mod platform;
pub mod server;
pub mod store;
pub mod truth;
pub mod upstream;
pub mod vms;
