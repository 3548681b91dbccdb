//! Messages between gateways, written by hand: datagrams and the answer about changes of the store.
//!
//! Owns their forms on the wire; when and to whom they are sent is the gateway's.

pub mod extract;
pub mod facts;
pub mod heartbeat;
pub mod loads;
pub mod quarantine;
