//! The command `cloverhollow-lab`.

use clap::{Parser, Subcommand};
use cloverhollow_cli::{serve, Logs, Serve, ServeError};
use cloverhollow_lab::bench::{hints, Bench, Keeps};
use cloverhollow_lab::day::{play, DayError, Options};
use cloverhollow_lab::fleet;
use cloverhollow_lab::fronts::StartMode;
use cloverhollow_lab::hunt::{self, Hunt, Ranges};
use cloverhollow_lab::members;
use cloverhollow_lab::policies::PolicyName;
use cloverhollow_lab::report;
use cloverhollow_lab::script::Day;
use cloverhollow_settings::SettingsError;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// The laboratory: tries fronts on loopback against stand-ins.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a day; exits 0 only if every rule was kept.
    Day {
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
    },
    /// Plays a day of a fleet four times: undisturbed, and with fronts that come back cold, with their last
    /// list, and warm;
    /// exits 0 only if every rule was kept, no server fell and nothing went to one that drains.
    Fleet {
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
    },
    /// Draws days from seeds and plays them, several at once, until one breaks a rule; shrinks those that do.
    /// Exits 0 only if none did. Resumes in the same folder.
    Hunt {
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
        /// Leaves days that break a rule as they were drawn.
        #[arg(long)]
        no_shrink: bool,
        /// Prints what was found as JSON.
        #[arg(long)]
        json: bool,
        /// Folder of results. Default: a new one among temporary files.
        #[arg(long)]
        dir: Option<PathBuf>,
    },
    /// Measures members as processes over wires: how soon a death is seen, who is taken for gone wrongly, and what it
    /// costs each of them.
    Members {
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
    },
    /// Measures a front on this machine: hints, added latency, objects and set-ups a second, memory a session.
    Bench {
        /// Seconds of each measurement.
        #[arg(long, default_value_t = 5)]
        seconds: u64,
        /// Sessions held for the measure of memory.
        #[arg(long, default_value_t = 20_000)]
        sessions: usize,
        /// Objects a second for the measure of latency.
        #[arg(long, default_value_t = 5_000.0)]
        rate: f64,
        /// Measures only what taking deeds down costs.
        #[arg(long)]
        deeds: bool,
    },
    /// Runs one session manager of a day on the platform. Started by `day`.
    #[command(hide = true)]
    Node {
        #[arg(long)]
        config: PathBuf,
        #[command(flatten)]
        logs: Logs,
    },
    /// Runs one front of a day. Started by `day`.
    #[command(hide = true)]
    Front {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        policy: PolicyName,
        #[arg(long)]
        record: Option<PathBuf>,
        #[command(flatten)]
        logs: Logs,
    },
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum Failure {
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
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

impl Failure {
    fn code(&self) -> u8 {
        match self {
            Failure::Settings(_) | Failure::Ranges(_) => 2,
            Failure::Serve(e) => e.code(),
            _ => 1,
        }
    }
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("cloverhollow-lab: {e}");
            ExitCode::from(e.code())
        }
    }
}

fn run(command: Command) -> Result<ExitCode, Failure> {
    let runtime = tokio::runtime::Runtime::new()?;
    match command {
        Command::Node { config, logs } => {
            logs.start();
            let one = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
            one.block_on(cloverhollow_node::run(config))?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Front { config, policy, record, logs } => {
            logs.start();
            let it = Serve { config, record };
            runtime.block_on(serve(&it, |settings, seed| policy.make(settings, seed)))?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Fleet { script, seed, json, svg, dir, logs } => {
            logs.start();
            let mut day = Day::load(&script)?;
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
        Command::Hunt { ranges, days, minutes, jobs, seed, policy, no_shrink, json, dir } => {
            let cores = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
            let hunt = Hunt {
                exe: std::env::current_exe()?,
                ranges: Ranges::load(&ranges)?,
                policy: policy.to_string(),
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
        Command::Members { processes, loss, deaths, dir, logs } => {
            logs.start();
            let dir = dir.unwrap_or_else(|| temporary("members"));
            let exe = std::env::current_exe()?;
            let loss = loss.clamp(0.0, 1.0);
            let found = runtime.block_on(members::measure(&exe, dir, processes.max(2), loss, deaths))?;
            println!("{}", serde_json::to_string(&found).unwrap_or_default());
            Ok(ExitCode::SUCCESS)
        }
        Command::Bench { seconds, deeds: true, .. } => {
            let dir = temporary("bench");
            runtime.block_on(deeds(&std::env::current_exe()?, &dir, Duration::from_secs(seconds)))?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Bench { seconds, sessions, rate, .. } => {
            runtime.block_on(measure(Duration::from_secs(seconds), sessions, rate))?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Day { script, policy, seed, json, exchanges, dir, record, platform, host, logs } => {
            logs.start();
            let mut day = Day::load(&script)?;
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
}

fn loopback(text: &str) -> Result<Ipv4Addr, String> {
    let host: Ipv4Addr = text.parse().map_err(|_| format!("`{text}` is no IPv4 address"))?;
    host.is_loopback().then_some(host).ok_or(format!("`{text}` is not in 127.0.0.0/8"))
}

fn temporary(what: &str) -> PathBuf {
    std::env::temp_dir().join(format!("cloverhollow-{what}-{}", std::process::id()))
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

/// What it costs to take paid set-ups down before they go out: the three ways in turns, in one run.
async fn deeds(exe: &std::path::Path, dir: &std::path::Path, span: Duration) -> std::io::Result<()> {
    for round in 0..3 {
        for keeps in [Keeps::Nothing, Keeps::Process, Keeps::Machine] {
            let begun = std::time::Instant::now();
            let bench = Bench::start(exe, dir, 14, keeps).await?;
            let ready = begun.elapsed().as_secs_f64() * 1e3;
            let busy = bench.most_setups(32, span, round).await;
            drop(bench);
            // Few at once: the way to the paper shows, and not the queue before the module.
            let bench = Bench::start(exe, dir, 14, keeps).await?;
            let calm = bench.most_setups(2, span, round).await;
            println!(
                "deeds kept over the death of {keeps:?}: ready after {ready:.0} ms; 32 at once {:.0} set-ups/s, {:.0} a second of CPU, p50 {:.2} p99 {:.2} ms; 2 at once p50 {:.2} p99 {:.2} ms",
                busy.done, busy.per_cpu, busy.ms.p50, busy.ms.p99, calm.ms.p50, calm.ms.p99
            );
        }
    }
    Ok(())
}

async fn measure(span: Duration, sessions: usize, rate: f64) -> std::io::Result<()> {
    let exe = std::env::current_exe()?;
    let dir = std::env::temp_dir().join(format!("cloverhollow-bench-{}", std::process::id()));
    let figures = hints();
    for (name, all) in [("CMCD", figures.cmcd), ("CMSD-Dynamic", figures.cmsd)] {
        for (bytes, ns, each) in all {
            println!("{name}: {bytes:6} bytes  {ns:9.0} ns  {each:.2} ns a byte");
        }
    }
    let bench = Bench::start(&exe, &dir, 14, Keeps::Process).await?;
    for round in 0..3 {
        let (through, straight) = bench.latency(64, rate, span, round).await;
        let added =
            |p: fn(&cloverhollow_lab::score::Percentiles) -> f64| (p(&through.ms) - p(&straight.ms)) * 1e3;
        println!(
            "objects at {rate:.0}/s: through p50 {:.3} p99 {:.3} ms ({:.2} cores, {} failed), straight p50 {:.3} p99 {:.3} ms; added p50 {:.0} us, p99 {:.0} us",
            through.ms.p50, through.ms.p99, through.cores, through.failed, straight.ms.p50, straight.ms.p99,
            added(|p| p.p50), added(|p| p.p99),
        );
    }
    drop(bench);
    for servers in [14, 250] {
        let bench = Bench::start(&exe, &dir, servers, Keeps::Process).await?;
        for (what, rate) in [
            ("objects", bench.most_objects(64, span, servers).await),
            ("set-ups", bench.most_setups(32, span, servers).await),
        ] {
            let (done, core) = (rate.done, rate.per_cpu);
            println!("{servers} servers: {done:.0} {what} a second, {core:.0} a second of the front's CPU");
        }
    }
    deeds(&exe, &dir, span).await?;
    let bench = Bench::start(&exe, &dir, 14, Keeps::Process).await?;
    let (closed, open) = bench.memory_a_session(sessions).await;
    println!(
        "{sessions} sessions: {closed:.2} KiB each; with its viewer's connection open {open:.2} KiB each"
    );
    Ok(())
}
