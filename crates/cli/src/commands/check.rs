//! `yokespoke check`.

use std::fs;
use std::path;
use std::time::SystemTime;

use anyhow::Context as _;
use model::acceptance;
use model::change;
use model::check;
use model::resource;
use model::snapshot;
use node::gateway;
use node::owner::settings;

use crate::args;
use crate::declarations;
use crate::exit;
use crate::printer;

/// Checks settings and declarations without a fleet.
///
/// # Errors
///
/// Fails at the first file that is malformed.
pub fn run(args: &args::Check) -> anyhow::Result<exit::Code> {
    let mut of_declarations = Vec::new();
    for at in &args.paths {
        match is_settings(at)? {
            true => {
                check_settings(at)?;
                printer::line(&format!("{}: settings are valid", at.display()));
            }
            false => of_declarations.push(at.clone()),
        }
    }
    let declared = declarations::read(&of_declarations)?;
    match declared.is_empty() {
        true => Ok(exit::Code::Done),
        false => check(declared),
    }
}

/// Checks the settings of a node or of a gateway.
fn check_settings(at: &path::Path) -> anyhow::Result<()> {
    match gateway::settings::Settings::is_gateway(&fs::read_to_string(at)?) {
        true => gateway::settings::Settings::read(at).map(drop),
        false => settings::Settings::read(at).map(drop),
    }
}

fn check(declared: Vec<resource::Resource>) -> anyhow::Result<exit::Code> {
    let count = declared.len();
    let steps = declared.into_iter().map(|resource| change::Step::Put { resource }).collect();
    let change = change::Change { operation: "check".to_owned(), expected: None, steps };
    let facts = check::context::Context::at(SystemTime::now());
    match acceptance::apply(&snapshot::Snapshot::default(), &change, &facts) {
        Ok(_) => {
            printer::line(&format!("{count} declarations are valid"));
            Ok(exit::Code::Done)
        }
        Err(model::refusal::Refusal::Invalid { problems }) => {
            for problem in problems {
                printer::error(&anyhow::anyhow!("{problem}"));
            }
            Ok(exit::Code::Wrong)
        }
        Err(refusal) => Err(refusal.into()),
    }
}

/// Returns whether a file holds settings: those name a node at their start.
fn is_settings(at: &path::Path) -> anyhow::Result<bool> {
    if at.is_dir() {
        return Ok(false);
    }
    let text = fs::read_to_string(at).with_context(|| format!("cannot read {}", at.display()))?;
    Ok(text.lines().any(|line| ["node:", "listen:", "role:"].iter().any(|k| line.starts_with(k))))
}
