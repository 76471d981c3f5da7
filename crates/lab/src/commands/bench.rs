//! Measures of a front on this machine.

use super::{temporary, Failure};
use clap::Args;
use cloverhollow_lab::bench::{hints, Bench as Machine, Keeps};
use std::process::ExitCode;
use std::time::Duration;
use tokio::runtime::Runtime;

/// What `bench` is given.
#[derive(Args)]
pub struct Bench {
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
}

impl Bench {
    /// Runs it.
    pub fn run(self, runtime: &Runtime) -> Result<ExitCode, Failure> {
        let Bench { seconds, sessions, rate, deeds: only } = self;
        let span = Duration::from_secs(seconds);
        if only {
            let dir = temporary("bench");
            runtime.block_on(deeds(&std::env::current_exe()?, &dir, span))?;
        } else {
            runtime.block_on(measure(span, sessions, rate))?;
        }
        Ok(ExitCode::SUCCESS)
    }
}

/// What it costs to take paid set-ups down before they go out: the three ways in turns, in one run.
async fn deeds(exe: &std::path::Path, dir: &std::path::Path, span: Duration) -> std::io::Result<()> {
    for round in 0..3 {
        for keeps in [Keeps::Nothing, Keeps::Process, Keeps::Machine] {
            let begun = std::time::Instant::now();
            let bench = Machine::start(exe, dir, 14, keeps).await?;
            let ready = begun.elapsed().as_secs_f64() * 1e3;
            let busy = bench.most_setups(32, span, round).await;
            drop(bench);
            // Few at once: the way to the paper shows, and not the queue before the module.
            let bench = Machine::start(exe, dir, 14, keeps).await?;
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
    let bench = Machine::start(&exe, &dir, 14, Keeps::Process).await?;
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
        let bench = Machine::start(&exe, &dir, servers, Keeps::Process).await?;
        for (what, rate) in [
            ("objects", bench.most_objects(64, span, servers).await),
            ("set-ups", bench.most_setups(32, span, servers).await),
        ] {
            let (done, core) = (rate.done, rate.per_cpu);
            println!("{servers} servers: {done:.0} {what} a second, {core:.0} a second of the front's CPU");
        }
    }
    deeds(&exe, &dir, span).await?;
    let bench = Machine::start(&exe, &dir, 14, Keeps::Process).await?;
    let (closed, open) = bench.memory_a_session(sessions).await;
    println!(
        "{sessions} sessions: {closed:.2} KiB each; with its viewer's connection open {open:.2} KiB each"
    );
    Ok(())
}
