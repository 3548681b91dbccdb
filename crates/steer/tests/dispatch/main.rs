//! Tests of dispatch: the choice of an upstream and the limits that every node must observe.

mod changes;
mod choice;
mod connectivity;
mod demand;
mod entries;
mod freshness;
mod health;
mod limits;
mod pace;
mod regions;
mod restarts;
mod setup;
mod slots;
mod slow_start;
mod statements;
mod unconfirmed;
