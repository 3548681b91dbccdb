//! What `yokespoked` does with its command line.
//!
//! Owns the exit codes and the choice of the role; [`gateway`] and [`owner`] run a process of each.

mod gateway;
mod owner;

use std::fmt;
use std::path;
use std::process;

use ::node::common::settings;
use ::node::gateway::settings as gateway_settings;

use crate::args;

/// Exit code for settings that cannot be used.
pub const BAD_SETTINGS: u8 = 2;

/// Exit code of a planned stop that had to cut something off.
const CUT_OFF: u8 = 3;

/// Checks the settings, or runs the process until it is stopped.
///
/// # Errors
///
/// Fails when the settings cannot be used or the process cannot start.
pub fn run(args: &args::Args) -> anyhow::Result<process::ExitCode> {
    let text = settings::text(&args.settings)?;
    match gateway_settings::Settings::is_gateway(&text) {
        true => gateway::run(args),
        false => owner::run(args),
    }
}

/// Reports that the settings in `file` are valid, and whose they are.
fn report_valid(file: &path::Path, subject: impl fmt::Display) -> process::ExitCode {
    println!("{}: settings of {subject} are valid", file.display());
    process::ExitCode::SUCCESS
}

/// Returns the exit code of a planned stop; `is_done` when every request had ended.
fn exit_code(is_done: bool) -> process::ExitCode {
    match is_done {
        true => process::ExitCode::SUCCESS,
        false => process::ExitCode::from(CUT_OFF),
    }
}
