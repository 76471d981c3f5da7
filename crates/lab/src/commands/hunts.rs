//! Days in numbers, and members over wires.

use super::{temporary, Failure};
use clap::Args;
use cloverhollow_cli::Logs;
use cloverhollow_lab::hunt::{self, Hunt as Hunting, Ranges};
use cloverhollow_lab::members;
use cloverhollow_lab::policies::PolicyName;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::runtime::Runtime;

/// What `hunt` is given.
#[derive(Args)]
pub struct Hunt {
    /// What days are drawn from (YAML).
    #[arg(default_value = "days/hunt.yaml")]
    ranges: PathBuf,
    /// How many days.
    #[arg(long, default_value_t = 50)]
    days: u64,
    /// No day begins later than this.
    #[arg(long, default_value_t = 60.0)]
    minutes: f64,
    /// Days at once. Default: three a core.
    #[arg(long)]
    jobs: Option<usize>,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Who decides: as for `day`.
    #[arg(long, default_value = "brain")]
    policy: PolicyName,
    /// The fronts are session managers of the platform.
    #[arg(long)]
    platform: bool,
    /// Leaves days that break a rule as they were drawn.
    #[arg(long)]
    no_shrink: bool,
    /// Prints what was found as JSON.
    #[arg(long)]
    json: bool,
    /// Folder of results. Default: a new one among temporary files.
    #[arg(long)]
    dir: Option<PathBuf>,
}

/// What `members` is given.
#[derive(Args)]
pub struct Members {
    /// How many processes.
    #[arg(long, default_value_t = 12)]
    processes: usize,
    /// The part of datagrams that is lost.
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// Deaths, one after the other.
    #[arg(long, default_value_t = 3)]
    deaths: usize,
    /// Folder for the fronts' files. Default: a new one among temporary files.
    #[arg(long)]
    dir: Option<PathBuf>,
    #[command(flatten)]
    logs: Logs,
}

impl Hunt {
    /// Runs it.
    pub fn run(self, runtime: &Runtime) -> Result<ExitCode, Failure> {
        let Hunt { ranges, days, minutes, jobs, seed, policy, platform, no_shrink, json, dir } = self;
        let cores = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
        let hunt = Hunting {
            exe: std::env::current_exe()?,
            ranges: Ranges::load(&ranges)?,
            policy: policy.to_string(),
            platform,
            dir: dir.unwrap_or_else(|| temporary("hunt")),
            first: seed,
            days,
            within: Duration::from_secs_f64(minutes.max(0.0) * 60.0),
            jobs: jobs.unwrap_or(cores * 3),
            shrink: !no_shrink,
        };
        eprintln!("results in {}", hunt.dir.display());
        let tell = |done: usize, r: &hunt::Played| {
            let words = r.broke.iter().map(|(b, words)| format!(" {b:?}: {words}"));
            let words = words.collect::<Vec<_>>().join(";");
            eprintln!(
                "{done}/{days} seed {}: served {:.3}, {} cold windows, {} fallen over, {}{words}",
                r.seed,
                r.served,
                r.cold,
                r.toppled,
                if words.is_empty() { "kept" } else { "BROKE" }
            );
        };
        let found = runtime.block_on(hunt.run(tell))?;
        if json {
            println!("{}", serde_json::to_string_pretty(&found).unwrap_or_default());
        } else {
            print!("{}", found.text());
        }
        Ok(if found.broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }
}

impl Members {
    /// Runs it.
    pub fn run(self, runtime: &Runtime) -> Result<ExitCode, Failure> {
        let Members { processes, loss, deaths, dir, logs } = self;
        logs.start();
        let dir = dir.unwrap_or_else(|| temporary("members"));
        let exe = std::env::current_exe()?;
        let loss = loss.clamp(0.0, 1.0);
        let found = runtime.block_on(members::measure(&exe, dir, processes.max(2), loss, deaths))?;
        println!("{}", serde_json::to_string(&found).unwrap_or_default());
        Ok(ExitCode::SUCCESS)
    }
}
