//! Stand-ins for the users' platform: its metadata store, and upstreams as they behave there.
//!
//! Gateways meet these in tests and in the demo. [`store`] serves [`items`] at any number of
//! [`listener`]s; [`upstream`] answers requests, also [without end](endless). They rely on the platform's adapter for paths,
//! headers and forms.

pub mod calls;
pub mod endless;
pub mod items;
pub mod listener;
pub mod store;
pub mod upstream;
