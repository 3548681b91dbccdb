//! Stand-ins for the users' platform: its metadata store, and upstreams as they behave there.

pub mod door;
pub mod items;
pub mod store;
pub mod upstream;
