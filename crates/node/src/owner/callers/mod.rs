//! For callers: the proxy and the look-ups.

pub mod entry;
pub mod ledger;
pub mod lookup;
pub mod respond;
pub mod server;
