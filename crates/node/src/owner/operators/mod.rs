//! For operators: the resource API with watches, and the dump.

pub mod access;
pub mod api;
pub mod dump;
pub mod problem;
pub mod status;
pub mod stream;
