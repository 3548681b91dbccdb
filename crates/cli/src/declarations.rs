//! Declarations in files, as kept in version control.

use std::collections;
use std::fs;
use std::path;

use anyhow::Context as _;
use model::document;
use model::resource;

/// Reads files, and every `.yaml` and `.yml` file of folders and the folders in them.
///
/// A file that two paths lead to is read once.
///
/// # Errors
///
/// Fails when a path holds no file, a file cannot be read or is malformed, or names a resource that another
/// file names.
pub fn read(paths: &[path::PathBuf]) -> anyhow::Result<Vec<resource::Resource>> {
    let mut files = collections::BTreeSet::new();
    for at in paths {
        let mut of_path = Vec::new();
        collect(at, &mut of_path)?;
        anyhow::ensure!(!of_path.is_empty(), "{} holds no .yaml file", at.display());
        files.extend(of_path);
    }
    let mut all: Vec<resource::Resource> = Vec::new();
    let mut seen: collections::BTreeMap<(resource::Kind, String), String> =
        collections::BTreeMap::new();
    for file in files {
        let name = file.display().to_string();
        let text = fs::read_to_string(&file).with_context(|| format!("cannot read {name}"))?;
        for resource in document::read_resources(&name, &text)? {
            let key = (resource.kind(), resource.name().to_owned());
            if let Some(other) = seen.insert(key, name.clone()) {
                let (kind, called) = (resource.kind(), resource.name());
                let message = format!("{kind} {called} is declared in {other} too");
                let field = String::new();
                return Err(document::Error { file: name, line: None, field, message }.into());
            }
            all.push(resource);
        }
    }
    Ok(all)
}

fn collect(at: &path::Path, files: &mut Vec<path::PathBuf>) -> anyhow::Result<()> {
    let about = fs::metadata(at).with_context(|| format!("cannot read {}", at.display()))?;
    if about.is_file() {
        files.push(at.to_owned());
        return Ok(());
    }
    for entry in fs::read_dir(at).with_context(|| format!("cannot read {}", at.display()))? {
        let inner = entry?.path();
        let is_yaml = inner.extension().is_some_and(|e| e == "yaml" || e == "yml");
        if inner.is_dir() || is_yaml {
            collect(&inner, files)?;
        }
    }
    Ok(())
}
