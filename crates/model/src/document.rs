//! Declarations as YAML text: several documents a file, each with a `kind`.

use std::fmt;

use serde::de::DeserializeOwned;

use crate::resource;

/// What is wrong in a text of declarations or settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file, or another name for the origin of the text.
    pub file: String,
    /// The line, from 1; none when it is not known.
    pub line: Option<usize>,
    /// The field, as a path with dots; empty for the whole document.
    pub field: String,
    /// What was expected.
    pub message: String,
}

impl fmt::Display for Fault {
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

impl std::error::Error for Fault {}

/// Reads one value of `text`; the fault names `file`, line and field.
///
/// # Errors
///
/// Fails when the text is not YAML, or a field is unknown, missing or malformed.
pub fn read<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, Fault> {
    let deserializer = serde_yaml_ng::Deserializer::from_str(text);
    serde_path_to_error::deserialize(deserializer).map_err(|error| {
        let field = error.path().to_string();
        let inner = error.into_inner();
        let line = line_of(text, &field).or_else(|| inner.location().map(|l| l.line()));
        let message = strip_location(&inner.to_string(), &field);
        Fault { file: file.to_owned(), line, field, message }
    })
}

/// Reads every declaration of `text`.
///
/// # Errors
///
/// Fails at the first document that is not a declaration.
pub fn read_resources(file: &str, text: &str) -> Result<Vec<resource::Resource>, Fault> {
    split(text)
        .into_iter()
        .map(|(first, part)| {
            read_resource(file, &part).map_err(|mut fault| {
                fault.line = fault.line.map(|line| line + first);
                fault
            })
        })
        .collect()
}

/// Reads one declaration of `kind`, whose text need not repeat the kind.
///
/// # Errors
///
/// Fails when the text is not a declaration of that kind.
pub fn read_kind(
    file: &str,
    kind: resource::Kind,
    text: &str,
) -> Result<resource::Resource, Fault> {
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

fn read_resource(file: &str, text: &str) -> Result<resource::Resource, Fault> {
    let fault = |message: String| Fault {
        file: file.to_owned(),
        line: Some(1),
        field: "kind".to_owned(),
        message,
    };
    let value: serde_yaml_ng::Value = read(file, text)?;
    let word = value.get("kind").and_then(serde_yaml_ng::Value::as_str);
    let word = word.ok_or_else(|| fault("every declaration starts with its kind".to_owned()))?;
    let kind = resource::Kind::parse(word).ok_or_else(|| {
        let words = resource::Kind::ALL.map(resource::Kind::as_str).join(", ");
        fault(format!("`{word}` is none of {words}"))
    })?;
    read_kind(file, kind, text)
}

/// Blanks the line of the kind, so that the numbers of later lines stay the same.
fn without_kind(text: &str) -> String {
    let blank = |line: &str| match line.starts_with("kind:") {
        true => "#".to_owned(),
        false => line.to_owned(),
    };
    text.lines().map(blank).collect::<Vec<_>>().join("\n")
}

/// Splits a text at its `---` lines; each part comes with the lines before it.
fn split(text: &str) -> Vec<(usize, String)> {
    let mut parts = vec![(0, String::new())];
    for (number, line) in text.lines().enumerate() {
        match parts.last_mut() {
            Some((_, part)) if line.trim_end() != "---" => {
                part.push_str(line);
                part.push('\n');
            }
            _ => parts.push((number + 1, String::new())),
        }
    }
    let blank = |line: &str| line.trim().is_empty() || line.trim_start().starts_with('#');
    parts.retain(|(_, part)| !part.lines().all(blank));
    parts
}

/// Returns the line of a field, since the YAML library reports that of the mapping around it.
///
/// Follows the path's keys and indices down the lines, as block and one-line items are written.
fn line_of(text: &str, path: &str) -> Option<usize> {
    let path = path.replace('[', ".[");
    let mut lines = text.lines().enumerate().peekable();
    let mut found = None;
    for segment in path.split('.').filter(|segment| !segment.is_empty()) {
        let index = segment.strip_prefix('[').and_then(|s| s.strip_suffix(']')?.parse().ok());
        let mut left = index.unwrap_or(0);
        loop {
            let (number, line) = lines.peek()?;
            let is_hit = match index {
                Some(_) => line.trim_start().starts_with('-'),
                None => has_key(line, segment),
            };
            match (is_hit, left) {
                (true, 0) => {
                    found = Some(number + 1);
                    break;
                }
                (true, _) => left -= 1,
                (false, _) => {}
            }
            lines.next();
        }
        // The key of an item may stand on the item's own line.
        if index.is_none() {
            lines.next();
        }
    }
    found
}

fn has_key(line: &str, key: &str) -> bool {
    let key = format!("{key}:");
    let starts = line.split(['{', ',']).map(|part| part.trim_start_matches([' ', '-']));
    starts.into_iter().any(|part| part.starts_with(&key))
}

/// Removes the place that the YAML library repeats before and after its message.
fn strip_location(message: &str, field: &str) -> String {
    let prefix = format!("{field}: ");
    let message = message.strip_prefix(&prefix).unwrap_or(message);
    match message.rfind(" at line ") {
        Some(end) => message[..end].to_owned(),
        None => message.to_owned(),
    }
}
