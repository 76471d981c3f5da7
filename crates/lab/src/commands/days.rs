//! Days of a script, and days of a fleet.

use super::{temporary, Failure};
use clap::Args;
use cloverhollow_cli::Logs;
use cloverhollow_lab::day::{play, Options};
use cloverhollow_lab::fleet;
use cloverhollow_lab::fronts::StartMode;
use cloverhollow_lab::policies::PolicyName;
use cloverhollow_lab::report;
use cloverhollow_lab::script::Day as Script;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::Runtime;

/// What `day` is given.
#[derive(Args)]
pub struct Day {
    /// The script (YAML).
    script: PathBuf,
    /// Who decides: brain, random, forgets, or broken-1 to broken-6.
    #[arg(long, default_value = "brain")]
    policy: PolicyName,
    /// Another seed than the script's.
    #[arg(long)]
    seed: Option<u64>,
    /// Prints the outcome as JSON.
    #[arg(long)]
    json: bool,
    /// Writes all that passed, one JSON object a line.
    #[arg(long)]
    exchanges: Option<PathBuf>,
    /// Folder for the fronts' settings, lists, records and logs. Default: a new one among temporary files.
    #[arg(long)]
    dir: Option<PathBuf>,
    /// Has the fronts record each step.
    #[arg(long)]
    record: bool,
    /// The fronts are session managers of the platform: RTSP, JSON lines, command channel.
    #[arg(long)]
    platform: bool,
    /// The loopback address (127.0.0.0/8) that all of it listens at.
    #[arg(long, default_value = "127.0.0.1", value_parser = loopback)]
    host: Ipv4Addr,
    #[command(flatten)]
    logs: Logs,
}

/// What `fleet` is given.
#[derive(Args)]
pub struct Fleet {
    /// The script (YAML): it restarts fronts by `balancer_crash`.
    script: PathBuf,
    /// Another seed than the script's.
    #[arg(long)]
    seed: Option<u64>,
    /// Prints the outcome as JSON.
    #[arg(long)]
    json: bool,
    /// Writes the course of all four as a plot.
    #[arg(long)]
    svg: Option<PathBuf>,
    /// Folder for the fronts' files. Default: a new one among temporary files.
    #[arg(long)]
    dir: Option<PathBuf>,
    #[command(flatten)]
    logs: Logs,
}

impl Day {
    /// Runs it.
    pub fn run(self, runtime: &Runtime) -> Result<ExitCode, Failure> {
        let Day { script, policy, seed, json, exchanges, dir, record, platform, host, logs } = self;
        logs.start();
        let mut day = Script::load(&script)?;
        if let Some(seed) = seed {
            day.script.seed = seed.into();
        }
        let dir = dir.unwrap_or_else(|| temporary("day"));
        let options = Options {
            exe: std::env::current_exe()?,
            policy,
            dir,
            record,
            mode: StartMode::LastList,
            host,
            platform,
        };
        let outcome = runtime.block_on(play(&day, &options))?;
        if let Some(path) = exchanges {
            write_lines(&path, &outcome.exchanges)?;
        }
        if json {
            println!("{}", serde_json::to_string_pretty(&outcome).unwrap_or_default());
        } else {
            print!("{}", report::text(&outcome));
        }
        Ok(if outcome.kept() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }
}

impl Fleet {
    /// Runs it.
    pub fn run(self, runtime: &Runtime) -> Result<ExitCode, Failure> {
        let Fleet { script, seed, json, svg, dir, logs } = self;
        logs.start();
        let mut day = Script::load(&script)?;
        day.script.seed = seed.map_or(day.script.seed, Into::into);
        let dir = dir.unwrap_or_else(|| temporary("fleet"));
        let outcome = runtime.block_on(fleet::compare(&day, &std::env::current_exe()?, &dir))?;
        if let Some(path) = svg {
            std::fs::write(path, outcome.svg().map_err(std::io::Error::other)?)?;
        }
        if json {
            println!("{}", serde_json::to_string_pretty(&outcome).unwrap_or_default());
        } else {
            print!("{}", outcome.text());
        }
        Ok(if outcome.kept() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }
}

fn loopback(text: &str) -> Result<Ipv4Addr, String> {
    let host: Ipv4Addr = text.parse().map_err(|_| format!("`{text}` is no IPv4 address"))?;
    host.is_loopback().then_some(host).ok_or(format!("`{text}` is not in 127.0.0.0/8"))
}

fn write_lines(path: &std::path::Path, all: &[cloverhollow_lab::exchange::Exchange]) -> std::io::Result<()> {
    use std::io::Write;
    let mut out = std::io::BufWriter::new(std::fs::File::create(path)?);
    for e in all {
        serde_json::to_writer(&mut out, e)?;
        out.write_all(b"\n")?;
    }
    out.flush()
}
