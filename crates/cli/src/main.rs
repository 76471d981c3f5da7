//! The command `cloverhollow`: argument parsing, runtimes and exit codes.

mod fleet;

use clap::{Parser, Subcommand};
use cloverhollow_cli::{Logs, Serve};
use cloverhollow_settings::FrontSettings;
use std::path::PathBuf;
use std::process::ExitCode;

/// A session front: places and shapes video sessions on streaming servers.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a front until SIGINT or SIGTERM.
    Serve {
        /// Settings file (YAML).
        #[arg(long)]
        config: PathBuf,
        /// Records the events and actions of each step in a file in this directory.
        #[arg(long)]
        record: Option<PathBuf>,
        #[command(flatten)]
        logs: Logs,
    },
    /// Runs a session manager of the platform; `NODE_CONFIG` names its configuration file.
    Node {
        /// Configuration file (JSON).
        #[arg(long, env = "NODE_CONFIG")]
        config: PathBuf,
        #[command(flatten)]
        logs: Logs,
    },
    /// Checks a settings file; exits 2 with file, line, field and valid range of the first error.
    Check {
        /// Settings file (YAML).
        #[arg(long)]
        config: PathBuf,
    },
    /// Shows which members a running front knows, bounds on their number, and its permits.
    Fleet(fleet::FleetCommand),
    /// Replays a recording through the decision module; exits 1 if the actions differ.
    Replay {
        /// Recording written by `serve --record`.
        record: PathBuf,
    },
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Serve { config, record, logs } => {
            logs.start();
            let runtime = match tokio::runtime::Runtime::new() {
                Ok(runtime) => runtime,
                Err(e) => return fail(&e, 1),
            };
            match runtime.block_on(Serve { config, record }.run()) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => fail(&e, e.code()),
            }
        }
        Command::Node { config, logs } => {
            logs.start();
            let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => runtime,
                Err(e) => return fail(&e, 1),
            };
            match runtime.block_on(cloverhollow_node::run(config)) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => fail(&e, e.exit_code()),
            }
        }
        Command::Check { config } => match FrontSettings::load(&config) {
            Ok(settings) => {
                let (classes, rungs) = (settings.classes.0.len(), settings.ladder.0.len());
                println!("{}: good; {classes} classes, {rungs} rungs", config.display());
                ExitCode::SUCCESS
            }
            Err(e) => fail(&e, 2),
        },
        Command::Fleet(command) => {
            let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => runtime,
                Err(e) => return fail(&e, 1),
            };
            match runtime.block_on(command.run()) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => fail(&e, e.code()),
            }
        }
        Command::Replay { record } => replay(&record),
    }
}

fn fail(error: &dyn std::error::Error, code: u8) -> ExitCode {
    eprintln!("cloverhollow: {error}");
    ExitCode::from(code)
}

fn replay(path: &std::path::Path) -> ExitCode {
    let report = match cloverhollow_record::replay(path) {
        Ok(report) => report,
        Err(e) => return fail(&e, 2),
    };
    let truncated = if report.truncated { "; the file is truncated inside its last step" } else { "" };
    println!("{} steps, {} events, {} actions{truncated}", report.steps, report.events, report.actions);
    match report.difference {
        None => {
            println!("the same actions came out");
            ExitCode::SUCCESS
        }
        Some(difference) => {
            println!(
                "step {} produced other actions\n  recorded {:?}\n  replayed {:?}",
                difference.step, difference.recorded, difference.replayed
            );
            ExitCode::FAILURE
        }
    }
}
