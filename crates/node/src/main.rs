//! `yokespoked`: a node of yokespoke.

mod args;
mod controller;

use std::process;

use clap::Parser as _;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> process::ExitCode {
    match controller::run(&args::Args::parse()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error:#}");
            process::ExitCode::from(controller::BAD_SETTINGS)
        }
    }
}
