//! The node process.
