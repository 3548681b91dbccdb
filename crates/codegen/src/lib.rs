//! Regenerates the committed code of the messages between nodes.
//!
//! Pure Rust: the schema is compiled by `protox`, so no outside program is needed.

use std::fs;
use std::path;

use anyhow::Context as _;

/// Schema file, relative to the workspace's root.
pub const SCHEMA: &str = "crates/wire/proto/peer.proto";

/// Folder of the generated code, relative to the workspace's root.
pub const OUTPUT: &str = "crates/wire/src/generated";

/// Writes the code generated from the schema below `root` into `output`.
///
/// # Errors
///
/// Fails when the schema has an error or the folder cannot be written.
pub fn generate(root: &path::Path, output: &path::Path) -> anyhow::Result<()> {
    let schema = root.join(SCHEMA);
    let include = schema.parent().context("the schema has no folder")?;
    let descriptors = protox::compile([&schema], [include])?;
    fs::create_dir_all(output).with_context(|| format!("cannot make {}", output.display()))?;
    tonic_prost_build::configure()
        .build_client(true)
        .build_server(true)
        .out_dir(output)
        .compile_fds(descriptors)
        .context("cannot generate code from the schema")
}
