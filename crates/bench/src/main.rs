//! `yokespoke-bench`: measures what the users' bench does not show; its pages are in `docs/measurements/`.
//!
//! The users' bench measures gateways only: what a request costs through one, and how a fleet of them
//! grows. It has no nodes that own upstreams, so [`cost`] and [`scale`] measure those here; and it charges a
//! process as a whole, so [`choice`], [`control`] and
//! [`organisations`] measure a gateway's decisions and control alone. This file owns the arguments; it relies on [`output`] for the forms of a result.

mod choice;
mod control;
mod cost;
mod organisations;
mod output;
mod scale;

use std::path;

use clap::Parser as _;

/// Measures yokespoke.
#[derive(Debug, clap::Parser)]
#[command(name = "yokespoke-bench", version)]
struct Args {
    /// What to measure.
    #[command(subcommand)]
    command: Command,

    /// Seed of random choices.
    #[arg(long, global = true, default_value_t = 1)]
    seed: u64,

    /// Print one JSON object in place of tables.
    #[arg(long, global = true)]
    json: bool,

    /// Folder in which tables and plots are written.
    #[arg(long, global = true, value_name = "FOLDER")]
    out: Option<path::PathBuf>,
}

/// What to measure.
#[derive(Debug, clap::Subcommand)]
enum Command {
    /// Decisions of a gateway beside 10 to 10,000 upstreams.
    Choice,
    /// Control of a gateway beside 300 to 16,000 others and 1,000 to 100,000 upstreams.
    Control,
    /// Keys and quotas beside 10 to 10,000 organisations.
    Organisations,
    /// Requests and look-ups through real nodes against the upstream itself.
    Cost,
    /// How state, messages and time grow with the fleet, by a virtual clock.
    Scale,
}

fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    let result = match args.command {
        Command::Choice => choice::run(args.seed)?,
        Command::Control => control::run()?,
        Command::Organisations => organisations::run()?,
        Command::Cost => cost::run()?,
        Command::Scale => scale::run(args.seed)?,
    };
    match args.json {
        true => println!("{}", result.as_json()),
        false => println!("{}", result.as_markdown()),
    }
    match &args.out {
        Some(folder) => result.write(folder),
        None => Ok(()),
    }
}
