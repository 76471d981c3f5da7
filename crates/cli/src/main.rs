//! The command `cloverhollow`.

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
        /// The file of settings (YAML).
        #[arg(long)]
        config: PathBuf,
        /// Keeps each step's events and actions in a file of this folder.
        #[arg(long)]
        record: Option<PathBuf>,
        #[command(flatten)]
        logs: Logs,
    },
    /// Runs a session manager of the platform: `NODE_CONFIG` names the file that says all else.
    Node {
        /// The configuration's file (JSON).
        #[arg(long, env = "NODE_CONFIG")]
        config: PathBuf,
        #[command(flatten)]
        logs: Logs,
    },
    /// Checks a file of settings; exits 2 with file, line, field and range of the first fault.
    Check {
        /// The file of settings (YAML).
        #[arg(long)]
        config: PathBuf,
    },
    /// Says who a running front thinks is there, and how many at the most.
    Fleet(fleet::Fleet),
    /// Runs a record through the decision module; exits 1 where the actions come out otherwise.
    Replay {
        /// A file that `serve --record` wrote.
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
            match runtime.block_on(Serve { config, record }.with_brain()) {
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
            Ok(s) => {
                let (classes, rungs) = (s.classes.0.len(), s.ladder.0.len());
                println!("{}: good; {classes} classes, {rungs} rungs", config.display());
                ExitCode::SUCCESS
            }
            Err(e) => fail(&e, 2),
        },
        Command::Fleet(ask) => {
            let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => runtime,
                Err(e) => return fail(&e, 1),
            };
            match runtime.block_on(ask.run()) {
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
    let found = match cloverhollow_record::replay(path) {
        Ok(found) => found,
        Err(e) => return fail(&e, 2),
    };
    let cut = if found.cut { "; the file is cut inside its last step" } else { "" };
    println!("{} steps, {} events, {} actions{cut}", found.steps, found.events, found.actions);
    match found.difference {
        None => {
            println!("the same actions came out");
            ExitCode::SUCCESS
        }
        Some(d) => {
            println!(
                "step {} came out otherwise\n  recorded {:?}\n  came     {:?}",
                d.step, d.recorded, d.came
            );
            ExitCode::FAILURE
        }
    }
}
