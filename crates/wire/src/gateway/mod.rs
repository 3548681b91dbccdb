//! Hand-written message types between gateways: datagrams, and the response to a query for store
//! changes.
//!
//! The modules define the wire formats only; the gateway decides when and to whom messages are
//! sent.

pub mod extract;
pub mod facts;
pub mod heartbeat;
pub mod loads;
pub mod quarantine;
pub mod slots;
