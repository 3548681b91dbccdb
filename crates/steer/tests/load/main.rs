//! Load tests of the dispatch rules on a simulated deployment.

mod deployment;
mod replays;
mod slots;
