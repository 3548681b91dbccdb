//! The operator's tool.
