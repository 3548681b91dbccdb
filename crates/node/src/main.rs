//! `yokespoked`: a node of yokespoke.

mod args;
mod controller;

use std::process;

use clap::Parser as _;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> process::ExitCode {
    let outcome = controller::run(&args::Args::parse());
    // The last lines are written before the process ends.
    log::logger().flush();
    match outcome {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error:#}");
            process::ExitCode::from(controller::BAD_SETTINGS)
        }
    }
}
