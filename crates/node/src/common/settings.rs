//! Reading of settings, of either role, from a YAML file.
//!
//! Owns the order of reading and checking and the texts of what cannot be read; each role has its own
//! fields and rules.

use std::fs;
use std::path;

use model::document;
use serde::de::DeserializeOwned;

/// Reads a file and checks it with the role's rules.
///
/// # Errors
///
/// Fails with the file, the line and the field at fault.
pub fn read<T: DeserializeOwned>(
    file: &path::Path,
    check: impl FnOnce(&T, &str) -> Result<(), document::Error>,
) -> anyhow::Result<T> {
    let name = file.display().to_string();
    let settings = document::read(&name, &text(file)?)?;
    check(&settings, &name)?;
    Ok(settings)
}

/// Returns the text of a file of settings.
///
/// # Errors
///
/// Fails with the file, when it cannot be read or is no text.
pub fn text(file: &path::Path) -> anyhow::Result<String> {
    fs::read_to_string(file)
        .map_err(|error| anyhow::anyhow!("cannot read settings {}: {error}", file.display()))
}

/// Returns the fault of a field that breaks a rule.
#[must_use]
pub fn fault(file: &str, field: &str, message: impl Into<String>) -> document::Error {
    document::Error {
        file: file.to_owned(),
        line: None,
        field: field.to_owned(),
        message: message.into(),
    }
}
