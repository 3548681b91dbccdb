//! Stand-ins for what yokespoke meets: the platform's store and VM list, and upstreams.
//!
//! They serve tests and the demo. Each owns its address and shows faults on command; the upstreams
//! record what ran, how often, and how many requests each had in flight. [`platform`] stands in for
//! the users' platform as gateways meet it; the other modules for what nodes that own upstreams
//! meet. They rely on the platform's adapter only for its paths, headers and forms.

pub mod client;
pub mod control;
pub mod loopback;
pub mod pattern;
pub mod platform;
pub mod raw;
pub mod record;
pub mod server;
pub mod split;
pub mod store;
pub mod upstream;
pub mod vms;
