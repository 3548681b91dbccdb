//! Logs: one line of key=value pairs for each event.
//!
//! Owns the form of a line and the levels; relies on [`log_writer`] to write lines without blocking.

use std::fmt;
use std::fmt::Write as _;
use std::io;
use std::sync;
use std::sync::atomic::AtomicU64;
use std::time::SystemTime;

use log::kv;
use serde::{Deserialize, Serialize};

use crate::common::log_writer;

/// The least important events that are logged, as settings name them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// Failures of the node itself.
    Error,
    /// Faults of others that change what the node does.
    Warn,
    /// Changes of configuration, membership and standing.
    #[default]
    Info,
    /// Every request too.
    Debug,
}

/// Sends events of `level` and above to `output`: a process's own is standard output; a tool whose
/// results go there logs to standard error.
///
/// # Errors
///
/// Fails when a logger is set already.
pub fn start(level: Level, output: impl io::Write + Send + 'static) -> anyhow::Result<()> {
    let lines = log_writer::LogWriter::start(output, dropped())?;
    fern::Dispatch::new()
        .format(|out, message, record| out.finish(format_args!("{}", Line { message, record })))
        .level(log::LevelFilter::Warn)
        .level_for("node", filter(level))
        .level_for("steer", filter(level))
        .level_for("yokespoked", filter(level))
        .chain(fern::Output::writer(Box::new(lines), "\n"))
        .apply()?;
    Ok(())
}

/// Returns the count of lines that were dropped, because there were too many or the output was slow.
#[must_use]
pub fn dropped() -> sync::Arc<AtomicU64> {
    static DROPPED: sync::LazyLock<sync::Arc<AtomicU64>> = sync::LazyLock::new(sync::Arc::default);
    sync::Arc::clone(&DROPPED)
}

fn filter(level: Level) -> log::LevelFilter {
    match level {
        Level::Error => log::LevelFilter::Error,
        Level::Warn => log::LevelFilter::Warn,
        Level::Info => log::LevelFilter::Info,
        Level::Debug => log::LevelFilter::Debug,
    }
}

/// One event as a line.
struct Line<'a> {
    message: &'a fmt::Arguments<'a>,
    record: &'a log::Record<'a>,
}

impl fmt::Display for Line<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = humantime::format_rfc3339_millis(SystemTime::now());
        let level = self.record.level().as_str().to_ascii_lowercase();
        write!(f, "event={} time={time} level={level}", quoted(&self.message.to_string()))?;
        let mut pairs = Pairs(f);
        self.record.key_values().visit(&mut pairs).map_err(|_| fmt::Error)
    }
}

struct Pairs<'a, 'b>(&'a mut fmt::Formatter<'b>);

impl<'kvs> kv::VisitSource<'kvs> for Pairs<'_, '_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        write!(self.0, " {key}={}", quoted(&value.to_string()))?;
        Ok(())
    }
}

/// Quotes a value that a parser could take for the next pair.
fn quoted(value: &str) -> String {
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    match !value.is_empty() && value.chars().all(plain) {
        true => value.to_owned(),
        false => {
            let mut out = String::from("\"");
            for c in value.chars() {
                match c {
                    '"' | '\\' => {
                        out.push('\\');
                        out.push(c);
                    }
                    c if c.is_control() => {
                        // Writing to a string cannot fail.
                        let _ = write!(out, "\\u{{{:x}}}", u32::from(c));
                    }
                    c => out.push(c),
                }
            }
            out.push('"');
            out
        }
    }
}
