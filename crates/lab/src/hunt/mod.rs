//! Looks for days that break a rule: draws them from seeds, plays several at once, shrinks what breaks.
//!
//! Each day runs in a process of its own (`cloverhollow-lab day`), with ports from the system and a folder of its
//! own: a panic, of a front or of the laboratory, ends one day and is one of the things that are looked for.

mod draw;
mod results;
mod shrink;

pub use draw::{Ranges, RangesError};

use results::read_results;
use rustix::process::{kill_process_group, Pid, Signal};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// A day that has not ended so long after its length is ended.
const OVERDUE: Duration = Duration::from_secs(60);

/// What a hunt is to do.
#[derive(Clone, Debug)]
pub struct Hunt {
    /// This program.
    pub exe: PathBuf,
    /// What days are drawn from.
    pub ranges: Ranges,
    /// Who decides, by its name on the command line.
    pub policy: String,
    /// Whether the fronts are session managers of the platform.
    pub platform: bool,
    /// Folder of results: `results.jsonl`, a YAML for each seed that broke a rule, and what failing days left.
    pub dir: PathBuf,
    /// The first seed.
    pub first: u64,
    /// How many days.
    pub days: u64,
    /// No day begins later than this.
    pub within: Duration,
    /// Days at once.
    pub jobs: usize,
    /// Whether days that break a rule are shrunk.
    pub shrink: bool,
}

/// What broke.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Broke {
    /// That rule.
    Rule(u8),
    /// A front's process panicked.
    Panic,
    /// The day did not come to its end.
    NoEnd,
}

/// One day as it came out: a line of `results.jsonl`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Played {
    /// Its seed.
    pub seed: u64,
    /// What broke, with the first offence in words.
    pub broke: Vec<(Broke, String)>,
    /// Lives of fronts that ended by a kill.
    pub deaths: usize,
    /// Worth served over worth asked.
    #[serde(default)]
    pub served: f64,
    /// Windows of cold servers that rule 4 was checked on, from the servers' own log.
    #[serde(default)]
    pub cold: u64,
    /// Servers that fell over.
    #[serde(default)]
    pub toppled: usize,
}

/// All days of a hunt.
#[derive(Clone, Debug, Serialize)]
pub struct Found {
    /// Days played, earlier runs of the same folder among them.
    pub days: usize,
    /// How many of them an earlier run had played.
    pub resumed: usize,
    /// Fronts killed on them.
    pub deaths: usize,
    /// Days that broke something.
    pub broken: Vec<Played>,
    /// How long this run took, seconds.
    pub seconds: f64,
    /// Days at once.
    pub jobs: usize,
}

/// Why a hunt cannot be.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs)] // the messages say it
pub enum HuntError {
    #[error("{path}: {source}")]
    Io { path: String, source: std::io::Error },
    #[error("{path}: not results of a hunt: {source}")]
    Results { path: String, source: serde_json::Error },
}

fn io(path: &Path) -> impl FnOnce(std::io::Error) -> HuntError {
    let path = path.display().to_string();
    move |source| HuntError::Io { path, source }
}

/// The parts of a day's outcome (`day --json`) that a hunt looks at.
#[derive(Deserialize)]
struct Outcome {
    rules: Vec<Told>,
    deaths: usize,
    toppled: usize,
    score: Worth,
}

#[derive(Deserialize)]
struct Worth {
    served: f64,
}

#[derive(Deserialize)]
struct Told {
    rule: u8,
    checked: u64,
    first: Option<String>,
}

/// What an outcome tells. That a server fell is none of it: where fronts could have known, rule 4 is broken.
fn broke(outcome: &Outcome) -> Vec<(Broke, String)> {
    outcome.rules.iter().filter_map(|r| Some((Broke::Rule(r.rule), r.first.clone()?))).collect()
}

/// Plays one day in a process of its own.
struct Player {
    exe: PathBuf,
    policy: String,
    platform: bool,
}

impl Player {
    /// Cancel-safe: dropping it ends the day's process group, the fronts with it.
    async fn play(&self, seed: u64, day: &Value, dir: &Path) -> Result<Played, HuntError> {
        let _ = std::fs::remove_dir_all(dir);
        std::fs::create_dir_all(dir).map_err(io(dir))?;
        let script = dir.join("day.yaml");
        std::fs::write(&script, draw::yaml(day)).map_err(io(&script))?;
        let mut command = tokio::process::Command::new(&self.exe);
        command.arg("day").arg(&script).args(["--policy", &self.policy, "--json", "--log-level", "error"]);
        if self.platform {
            command.arg("--platform");
        }
        command.arg("--host").arg(host(day).to_string()).arg("--exchanges").arg(dir.join("exchanges.jsonl"));
        command.arg("--dir").arg(dir).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        command.process_group(0);
        let child = command.spawn().map_err(io(&self.exe))?;
        let _group = Group(child.id().and_then(|id| Pid::from_raw(id as i32)));
        let length = Duration::from_millis(day["length_ms"].as_u64().unwrap_or(0));
        let out = tokio::time::timeout(length + OVERDUE, child.wait_with_output()).await;
        let none = |seed| Played { seed, broke: Vec::new(), deaths: 0, served: 0.0, cold: 0, toppled: 0 };
        let no_end = |what: String| Played { broke: vec![(Broke::NoEnd, what)], ..none(seed) };
        let mut found = match &out {
            Ok(Ok(out)) => match serde_json::from_slice::<Outcome>(&out.stdout) {
                Ok(o) => Played {
                    broke: broke(&o),
                    deaths: o.deaths,
                    served: o.score.served,
                    cold: o.rules.iter().filter(|r| r.rule == 4).map(|r| r.checked).sum(),
                    toppled: o.toppled,
                    ..none(seed)
                },
                Err(_) => no_end(last_line(&out.stderr)),
            },
            Ok(Err(e)) => no_end(e.to_string()),
            Err(_) => no_end("overdue".into()),
        };
        found.broke.extend(panics(dir));
        Ok(found)
    }
}

/// A loopback address for a day alone, by its seed: of days that run side by side no two have the same.
fn host(day: &Value) -> Ipv4Addr {
    let n = day["seed"].as_u64().unwrap_or(0) % (250 * 250 * 250);
    let part = |by: u64| (n / by % 250) as u8 + 1;
    Ipv4Addr::new(127, part(250 * 250), part(250), part(1))
}

/// The day's processes; ended with this.
struct Group(Option<Pid>);

impl Drop for Group {
    fn drop(&mut self) {
        if let Some(pid) = self.0 {
            let _ = kill_process_group(pid, Signal::KILL);
        }
    }
}

fn last_line(text: &[u8]) -> String {
    String::from_utf8_lossy(text).lines().last().unwrap_or("it said nothing").to_string()
}

/// Panics in the logs of a day's fronts.
fn panics(dir: &Path) -> Option<(Broke, String)> {
    let logs = std::fs::read_dir(dir).ok()?.flatten().map(|e| e.path());
    let logs = logs.filter(|p| p.extension().is_some_and(|e| e == "log"));
    let texts = logs.filter_map(|p| std::fs::read_to_string(p).ok());
    let line = |text: String| text.lines().find(|l| l.contains("panicked at")).map(str::to_string);
    texts.filter_map(line).next().map(|line| (Broke::Panic, line))
}

impl Hunt {
    /// Hunts; `tell` is told of each day as it ends, with how many are done.
    ///
    /// # Errors
    /// The folder cannot be used.
    pub async fn run(&self, tell: impl Fn(usize, &Played)) -> Result<Found, HuntError> {
        std::fs::create_dir_all(&self.dir).map_err(io(&self.dir))?;
        let path = self.dir.join("results.jsonl");
        let mut all = read_results(&path)?;
        let known: BTreeSet<u64> = all.iter().map(|r| r.seed).collect();
        let resumed = all.len();
        let mut file = std::fs::File::options().create(true).append(true).open(&path).map_err(io(&path))?;
        let begun = Instant::now();
        let mut seeds = (self.first..self.first + self.days).filter(|s| !known.contains(s));
        let (mut days, mut failed) = (JoinSet::new(), None);
        loop {
            while days.len() < self.jobs.max(1) && failed.is_none() && begun.elapsed() < self.within {
                let Some(seed) = seeds.next() else { break };
                let me = self.clone();
                days.spawn(async move { me.one(seed).await });
            }
            // Days end in any order, and are written as they end.
            match days.join_next().await {
                Some(Ok(Ok(played))) => {
                    let line = serde_json::to_string(&played).unwrap_or_default() + "\n";
                    file.write_all(line.as_bytes()).map_err(io(&path))?;
                    tell(all.len() + 1, &played);
                    all.push(played);
                }
                Some(Ok(Err(e))) => failed = Some(e),
                Some(Err(_)) => {} // a panic, which has been written to standard error
                None => break,
            }
        }
        match failed {
            Some(e) => Err(e),
            None => Ok(Found {
                days: all.len(),
                resumed,
                deaths: all.iter().map(|r| r.deaths).sum(),
                broken: all.into_iter().filter(|r| !r.broke.is_empty()).collect(),
                seconds: begun.elapsed().as_secs_f64(),
                jobs: self.jobs,
            }),
        }
    }

    async fn one(&self, seed: u64) -> Result<Played, HuntError> {
        let day = self.ranges.draw(seed);
        let player = Player { exe: self.exe.clone(), policy: self.policy.clone(), platform: self.platform };
        let dir = self.dir.join(format!("day-{seed}"));
        let played = player.play(seed, &day, &dir).await?;
        if played.broke.is_empty() {
            let _ = std::fs::remove_dir_all(&dir);
        } else {
            let file = self.dir.join(format!("seed-{seed}.yaml"));
            std::fs::write(&file, draw::yaml(&day)).map_err(io(&file))?;
            if self.shrink {
                let what: BTreeSet<Broke> = played.broke.iter().map(|b| b.0.clone()).collect();
                let small =
                    shrink::shrink(&player, day, &what, &self.dir.join(format!("shrink-{seed}"))).await?;
                if let Some(small) = small {
                    let file = self.dir.join(format!("seed-{seed}-small.yaml"));
                    std::fs::write(&file, draw::yaml(&small)).map_err(io(&file))?;
                }
            }
        }
        Ok(played)
    }
}
