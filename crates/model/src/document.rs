//! Parses declarations and settings from YAML and reports errors by file, line and field.
//!
//! A file of declarations may hold several documents, each with a `kind`.

use std::fmt;

use serde::de::DeserializeOwned;

use crate::resource;

/// An error in a YAML text of declarations or settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// File name, or another description of the source of the text.
    pub file: String,
    /// Line number, counted from 1; `None` if unknown.
    pub line: Option<usize>,
    /// Dotted path of the field; empty for the whole document.
    pub field: String,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        match self.line {
            Some(line) => write!(f, ":{line}: ")?,
            None => f.write_str(": ")?,
        }
        match self.field.as_str() {
            "" | "." => f.write_str(&self.message),
            field => write!(f, "{field}: {}", self.message),
        }
    }
}

impl std::error::Error for Error {}

/// Deserializes a value from `text`; an error names `file`, the line and the field.
///
/// # Errors
///
/// Returns an error if the text is not YAML or a field is unknown, missing or malformed.
pub fn read<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, Error> {
    let deserializer = serde_yaml_ng::Deserializer::from_str(text);
    serde_path_to_error::deserialize(deserializer).map_err(|error| {
        let field = error.path().to_string();
        let inner = error.into_inner();
        let line = line_of(text, &field).or_else(|| inner.location().map(|l| l.line()));
        let message = strip_location(&inner.to_string(), &field);
        Error { file: file.to_owned(), line, field, message }
    })
}

/// Parses every declaration in `text`.
///
/// # Errors
///
/// Returns the error of the first document that is not a valid declaration.
pub fn read_resources(file: &str, text: &str) -> Result<Vec<resource::Resource>, Error> {
    split(text)
        .into_iter()
        .map(|(offset, document)| {
            read_resource(file, &document).map_err(|mut error| {
                error.line = error.line.map(|line| line + offset);
                error
            })
        })
        .collect()
}

/// Parses one declaration of `kind`; the text may leave out its `kind` field.
///
/// # Errors
///
/// Returns an error if the text is not a valid declaration of that kind.
pub fn read_kind(
    file: &str,
    kind: resource::Kind,
    text: &str,
) -> Result<resource::Resource, Error> {
    let text = without_kind(text);
    match kind {
        resource::Kind::Service => read(file, &text).map(resource::Resource::Service),
        resource::Kind::Place => read(file, &text).map(resource::Resource::Place),
        resource::Kind::Cap => read(file, &text).map(resource::Resource::Cap),
        resource::Kind::Drain => read(file, &text).map(resource::Resource::Drain),
        resource::Kind::Route => read(file, &text).map(resource::Resource::Route),
        resource::Kind::Evacuation => read(file, &text).map(resource::Resource::Evacuation),
        resource::Kind::Organisation => read(file, &text).map(resource::Resource::Organisation),
    }
}

fn read_resource(file: &str, text: &str) -> Result<resource::Resource, Error> {
    let error = |message: String| Error {
        file: file.to_owned(),
        line: Some(1),
        field: "kind".to_owned(),
        message,
    };
    let value: serde_yaml_ng::Value = read(file, text)?;
    let name = value.get("kind").and_then(serde_yaml_ng::Value::as_str);
    let name = name.ok_or_else(|| error("missing field `kind`".to_owned()))?;
    let kind = resource::Kind::parse(name).ok_or_else(|| {
        let names = resource::Kind::ALL.map(resource::Kind::as_str).join(", ");
        error(format!("`{name}` is none of {names}"))
    })?;
    read_kind(file, kind, text)
}

/// Replaces the `kind` line with an empty comment, which keeps the numbers of later lines.
fn without_kind(text: &str) -> String {
    let strip = |line: &str| match line.starts_with("kind:") {
        true => "#".to_owned(),
        false => line.to_owned(),
    };
    text.lines().map(strip).collect::<Vec<_>>().join("\n")
}

/// Splits a text at its `---` lines and returns each document with its line offset.
///
/// Documents of blank lines and comments only are left out.
fn split(text: &str) -> Vec<(usize, String)> {
    let mut documents = vec![(0, String::new())];
    for (number, line) in text.lines().enumerate() {
        match documents.last_mut() {
            Some((_, document)) if line.trim_end() != "---" => {
                document.push_str(line);
                document.push('\n');
            }
            _ => documents.push((number + 1, String::new())),
        }
    }
    let is_blank = |line: &str| line.trim().is_empty() || line.trim_start().starts_with('#');
    documents.retain(|(_, document)| !document.lines().all(is_blank));
    documents
}

/// Returns the line of the field at `path`.
///
/// The YAML library reports the line of the enclosing mapping instead. The search follows the keys
/// and indices of the path through block-style and single-line items.
fn line_of(text: &str, path: &str) -> Option<usize> {
    let path = path.replace('[', ".[");
    let mut lines = text.lines().enumerate().peekable();
    let mut found = None;
    for segment in path.split('.').filter(|segment| !segment.is_empty()) {
        let index = segment.strip_prefix('[').and_then(|s| s.strip_suffix(']')?.parse().ok());
        let mut items_to_skip = index.unwrap_or(0);
        loop {
            let (number, line) = lines.peek()?;
            let is_match = match index {
                Some(_) => line.trim_start().starts_with('-'),
                None => has_key(line, segment),
            };
            match (is_match, items_to_skip) {
                (true, 0) => {
                    found = Some(number + 1);
                    break;
                }
                (true, _) => items_to_skip -= 1,
                (false, _) => {}
            }
            lines.next();
        }
        // The first key of a list item is on the same line as the item's dash, so the search
        // continues on that line.
        if index.is_none() {
            lines.next();
        }
    }
    found
}

/// Returns whether `key` starts the line, a list item in it or an entry of a flow mapping in it.
fn has_key(line: &str, key: &str) -> bool {
    let key = format!("{key}:");
    let starts = line.split(['{', ',']).map(|part| part.trim_start_matches([' ', '-']));
    starts.into_iter().any(|part| part.starts_with(&key))
}

/// Removes the field path and the location that the YAML library adds to its message.
fn strip_location(message: &str, field: &str) -> String {
    let prefix = format!("{field}: ");
    let message = message.strip_prefix(&prefix).unwrap_or(message);
    match message.rfind(" at line ") {
        Some(end) => message[..end].to_owned(),
        None => message.to_owned(),
    }
}
