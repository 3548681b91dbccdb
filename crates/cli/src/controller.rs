//! What `yokespoke` does with its command line.

use clap::CommandFactory as _;

use crate::args;
use crate::commands;
use crate::demo;
use crate::load;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// It did what was asked.
    Done,
    /// It failed.
    Failed,
    /// Its arguments or files are wrong.
    Wrong,
    /// The fleet refused the change.
    Refused,
    /// Nobody can say yet whether the change took effect.
    Unknown,
    /// A promise was broken.
    Broken,
}

impl Code {
    /// Returns the exit code.
    #[must_use]
    pub fn number(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Wrong => 2,
            Self::Refused => 3,
            Self::Unknown => 4,
            Self::Broken => 5,
        }
    }

    /// Returns the code of an error.
    #[must_use]
    pub fn of(error: &anyhow::Error) -> Self {
        match error.downcast_ref::<model::document::Fault>() {
            Some(_) => Self::Wrong,
            None => Self::Failed,
        }
    }
}

/// Runs a command.
///
/// # Errors
///
/// Fails when the command could not be carried out.
pub fn run(args: args::Args) -> anyhow::Result<Code> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(dispatch(args.command))
}

async fn dispatch(command: args::Command) -> anyhow::Result<Code> {
    match command {
        args::Command::Apply(args) => commands::apply::run(&args).await,
        args::Command::Diff(args) => commands::apply::show(&args).await,
        args::Command::Get(args) => commands::get::run(&args).await,
        args::Command::Watch(args) => commands::watch::run(&args).await,
        args::Command::Delete(args) => commands::delete::run(&args).await,
        args::Command::Check(args) => commands::check::run(&args),
        args::Command::Dump(args) => commands::dump::run(&args).await,
        args::Command::Lookup(args) => commands::lookup::run(&args).await,
        args::Command::Load(args) => load::command(&args).await,
        args::Command::Demo(args) => demo::run(&args).await,
        args::Command::Completions { shell } => {
            let mut command = args::Args::command();
            clap_complete::generate(shell, &mut command, "yokespoke", &mut std::io::stdout());
            Ok(Code::Done)
        }
    }
}
