//! Slots: the ledger and the queue of an owner, and the asking side.

mod drawn;
mod failures;
mod holder;
mod ledger;
mod model;
mod setup;
