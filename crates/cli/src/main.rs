//! `yokespoke`: the operator's tool.

mod args;
mod client;
mod commands;
mod controller;
mod declarations;
mod demo;
mod diff;
mod exit;
mod load;
mod printer;

use std::process;

use clap::Parser as _;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> process::ExitCode {
    match controller::run(args::Args::parse()) {
        Ok(code) => process::ExitCode::from(code.number()),
        Err(error) => {
            printer::error(&error);
            process::ExitCode::from(exit::Code::of(&error).number())
        }
    }
}
