//! What `yokespoke` does with its command line.

use clap::CommandFactory as _;

use crate::args;
use crate::commands;
use crate::demo;
use crate::exit;
use crate::load;

/// Runs a command.
///
/// # Errors
///
/// Fails when the command could not be carried out.
pub fn run(args: args::Args) -> anyhow::Result<exit::Code> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(dispatch(args.command))
}

async fn dispatch(command: args::Command) -> anyhow::Result<exit::Code> {
    match command {
        args::Command::Apply(args) => commands::apply::run(&args).await,
        args::Command::Diff(args) => commands::apply::show(&args).await,
        args::Command::Get(args) => commands::get::run(&args).await,
        args::Command::Watch(args) => commands::watch::run(&args).await,
        args::Command::Delete(args) => commands::delete::run(&args).await,
        args::Command::Check(args) => commands::check::run(&args),
        args::Command::Key(args) => commands::key::run(&args),
        args::Command::Dump(args) => commands::dump::run(&args).await,
        args::Command::Lookup(args) => commands::lookup::run(&args).await,
        args::Command::Release(args) => commands::release::run(&args).await,
        args::Command::Load(args) => load::command(&args).await,
        args::Command::Demo(args) => demo::run(&args).await,
        args::Command::Completions { shell } => {
            let mut command = args::Args::command();
            clap_complete::generate(shell, &mut command, "yokespoke", &mut std::io::stdout());
            Ok(exit::Code::Done)
        }
    }
}
