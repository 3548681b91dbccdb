//! What a soak that failed leaves behind: the logs of its gateways and what became of each request.

use std::env;
use std::fs;
use std::io;
use std::path;

use standin::platform::upstream;

use crate::callers;

/// Returns what callers saw of the requests that `broken` names.
pub fn of_requests(broken: &[String], outcomes: &[callers::Outcome]) -> String {
    let is_named = |outcome: &&callers::Outcome| {
        let mut words = broken.iter().flat_map(|text| text.split([' ', '"']));
        words.any(|word| word == outcome.id)
    };
    outcomes.iter().filter(is_named).map(line).collect()
}

/// What is kept of a soak beside what callers saw.
#[derive(Clone, Debug)]
pub struct Kept {
    /// Lines of log of each process, by a name for it.
    pub logs: Vec<(String, Vec<String>)>,
    /// What each upstream did, by its name.
    pub upstreams: Vec<(String, upstream::Record)>,
}

/// Keeps logs and requests in a folder of the seed; returns its path, or why nothing was kept.
pub fn keep(seed: u64, kept: &Kept, outcomes: &[callers::Outcome]) -> String {
    let folder = env::temp_dir().join(format!("yokespoke-soak-{seed}-{}", std::process::id()));
    match write(&folder, kept, outcomes) {
        Ok(()) => folder.display().to_string(),
        Err(error) => format!("no folder, since {}: {error}", folder.display()),
    }
}

fn write(folder: &path::Path, kept: &Kept, outcomes: &[callers::Outcome]) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    for (name, lines) in &kept.logs {
        fs::write(folder.join(format!("{name}.log")), lines.join("\n"))?;
    }
    let of_upstream = |(name, record): &(String, upstream::Record)| {
        record.runs.iter().map(|(id, run)| run_line(name, id, *run)).collect::<String>()
    };
    let runs: String = kept.upstreams.iter().map(of_upstream).collect();
    fs::write(folder.join("runs.txt"), runs)?;
    let requests: String = outcomes.iter().map(line).collect();
    fs::write(folder.join("requests.txt"), requests)
}

fn line(outcome: &callers::Outcome) -> String {
    let callers::Outcome { id, status, gateway, sent: (at, waited), cause, .. } = outcome;
    let at = humantime::format_rfc3339_millis(*at);
    format!("{id} sent to {gateway} at {at} status {status:?} after {waited:?} {cause}\n")
}

/// Returns when a request ran, and when its answer was written.
fn run_line(upstream: &str, id: &str, run: upstream::Run) -> String {
    let time = |at| humantime::format_rfc3339_millis(at).to_string();
    let answered = run.answered.map_or("never".to_owned(), time);
    format!("{id} ran at {upstream} at {} answered {answered}\n", time(run.began))
}
