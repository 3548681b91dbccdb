//! Dispatch: which upstream takes a request, and what a node may never do.

mod choice;
mod entries;
mod health;
mod limits;
mod regions;
mod restarts;
mod setup;
mod slow_start;
mod statements;
