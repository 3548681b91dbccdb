//! Command line of `yokespoked`.
//!
//! Owns the arguments alone; the controller acts on them.

use std::path;

/// A node of yokespoke: steers callers' requests to regions and upstreams.
#[derive(Clone, Debug, clap::Parser)]
#[command(name = "yokespoked", version, max_term_width = 100)]
pub struct Args {
    /// Settings of the node, in YAML.
    #[arg(long, short, value_name = "FILE")]
    pub settings: path::PathBuf,

    /// Check the settings and exit.
    #[arg(long)]
    pub check: bool,
}
