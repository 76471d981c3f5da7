//! The command `cloverhollow-lab`.

mod commands;

use clap::Parser;
use std::process::ExitCode;

/// The laboratory: tries fronts on loopback against stand-ins.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: commands::Command,
}

fn main() -> ExitCode {
    match Cli::parse().command.run() {
        Ok(code) => code,
        Err(e) => {
            eprintln!("cloverhollow-lab: {e}");
            ExitCode::from(e.code())
        }
    }
}
