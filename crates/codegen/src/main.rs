//! Regenerates `crates/wire/src/generated`; with `--check`, fails when it is stale.

use std::env;
use std::fs;
use std::path;

use anyhow::Context as _;

fn main() -> anyhow::Result<()> {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let output = root.join(codegen::OUTPUT);
    match env::args().nth(1).as_deref() {
        Some("--check") => check(&root, &output),
        Some(other) => anyhow::bail!("unknown argument {other}; the only one is --check"),
        None => codegen::generate(&root, &output),
    }
}

fn check(root: &path::Path, committed: &path::Path) -> anyhow::Result<()> {
    let fresh = env::temp_dir().join(format!("yokespoke-codegen-{}", std::process::id()));
    codegen::generate(root, &fresh)?;
    let mut stale = Vec::new();
    for entry in fs::read_dir(&fresh)? {
        let name = entry?.file_name();
        let new = fs::read(fresh.join(&name))?;
        let old = fs::read(committed.join(&name)).unwrap_or_default();
        if new != old {
            stale.push(name.to_string_lossy().into_owned());
        }
    }
    fs::remove_dir_all(&fresh).context("cannot remove the temporary folder")?;
    anyhow::ensure!(
        stale.is_empty(),
        "generated code is stale: {}; run `cargo run -p yokespoke-codegen`",
        stale.join(", ")
    );
    println!("generated code is current");
    Ok(())
}
