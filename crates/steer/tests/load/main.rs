//! Load tests of the dispatch rules on a simulated deployment.

mod demand;
mod deployment;
mod replays;
mod slots;
