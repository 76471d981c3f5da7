//! The commands, one file for each concern.

mod bench;
mod days;
mod foretell;
mod hunts;
mod processes;

use clap::Subcommand;
use cloverhollow_cli::ServeError;
use cloverhollow_lab::day::DayError;
use cloverhollow_lab::{hunt, members};
use cloverhollow_settings::SettingsError;
use std::path::PathBuf;
use std::process::ExitCode;

/// The commands.
#[derive(Subcommand)]
pub enum Command {
    /// Plays a day; exits 0 only if every rule was kept.
    Day(days::Day),
    /// Plays a day of a fleet four times: undisturbed, and with fronts that come back cold, with their last
    /// list, and warm;
    /// exits 0 only if every rule was kept, no server fell and nothing went to one that drains.
    Fleet(days::Fleet),
    /// Draws days from seeds and plays them, several at once, until one breaks a rule; shrinks those that do.
    /// Exits 0 only if none did. Resumes in the same folder.
    Hunt(hunts::Hunt),
    /// Measures members as processes over wires: how soon a death is seen, who is taken for gone wrongly, and
    /// what it costs each of them.
    Members(hunts::Members),
    /// Foretells drawn layouts and plays the day after: how far off forecasts are, beside the textbook's.
    Foretell(foretell::Foretell),
    /// Measures a front on this machine: hints, added latency, objects and set-ups a second, memory a
    /// session.
    Bench(bench::Bench),
    /// Runs one session manager of a day on the platform. Started by `day`.
    #[command(hide = true)]
    Node(processes::Node),
    /// Runs one front of a day. Started by `day`.
    #[command(hide = true)]
    Front(processes::Front),
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Day(#[from] DayError),
    #[error(transparent)]
    Serve(#[from] ServeError),
    #[error(transparent)]
    Node(#[from] cloverhollow_node::NodeError),
    #[error(transparent)]
    Ranges(#[from] hunt::RangesError),
    #[error(transparent)]
    Hunt(#[from] hunt::HuntError),
    #[error(transparent)]
    Members(#[from] members::MembersError),
    #[error(transparent)]
    Foretold(#[from] cloverhollow_forecast::Fault),
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

impl Failure {
    /// What the process exits with.
    pub fn code(&self) -> u8 {
        match self {
            Failure::Settings(_) | Failure::Ranges(_) => 2,
            Failure::Serve(e) => e.code(),
            _ => 1,
        }
    }
}

impl Command {
    /// Runs it.
    pub fn run(self) -> Result<ExitCode, Failure> {
        let runtime = tokio::runtime::Runtime::new()?;
        match self {
            Command::Day(it) => it.run(&runtime),
            Command::Fleet(it) => it.run(&runtime),
            Command::Hunt(it) => it.run(&runtime),
            Command::Members(it) => it.run(&runtime),
            Command::Foretell(it) => it.run(),
            Command::Bench(it) => it.run(&runtime),
            Command::Node(it) => it.run(),
            Command::Front(it) => it.run(&runtime),
        }
    }
}

fn temporary(what: &str) -> PathBuf {
    std::env::temp_dir().join(format!("cloverhollow-{what}-{}", std::process::id()))
}
