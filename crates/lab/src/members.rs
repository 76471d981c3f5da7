//! Fleets of members: fronts as processes, whose datagrams lead over wires, and what each says of the others.

use crate::exchange::Log;
use crate::fleet::get;
use crate::fronts::{FrontCommand, FrontError, Fronts, StartMode};
use crate::policies::PolicyName;
use crate::standin::Discovery;
use crate::wires::{Effect, End, Fault, Side, Wires};
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Longest page.
const MOST_PAGE: usize = 16 * 1024 * 1024;
/// Between two looks at what the fronts say.
const LOOK: Duration = Duration::from_millis(50);

/// Why a fleet is not there.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs)] // the messages say it
pub enum MembersError {
    #[error(transparent)]
    Front(#[from] FrontError),
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("the fronts did not find each other within {0:?}")]
    Strangers(Duration),
}

/// A fleet of fronts that are members.
pub struct Fleet {
    /// The processes.
    pub fronts: Fronts,
    /// What their datagrams lead over.
    pub wires: Arc<Wires>,
    _discovery: Arc<Discovery>,
}

/// The part of the settings that every front needs, with these for `members`.
fn settings(members: &Value) -> Value {
    serde_json::json!({
        "classes": [{"name": "clip", "aim_ms": 1000, "deadline_ms": 3000}],
        "ladder": [{"rate_kb": 200, "worth": 1}],
        "fleet": {"kinds": [{"name": "small", "streams": 10}], "copies": 1},
        "members": members,
    })
}

impl Fleet {
    /// Opens wires for `n` fronts; none runs yet. `members`: their settings but for addresses and keys.
    ///
    /// # Errors
    /// There are no more sockets.
    pub async fn new(
        exe: &Path,
        dir: PathBuf,
        n: usize,
        members: &Value,
        seed: u64,
    ) -> Result<Fleet, MembersError> {
        std::fs::create_dir_all(&dir)?;
        let (log, host) = (Arc::new(Log::begin()), Ipv4Addr::LOCALHOST);
        let discovery = Discovery::start(log.clone(), host).await?;
        let wires = Arc::new(Wires::start(n, &[], discovery.address, host, seed, log.clone()).await?);
        let command = FrontCommand {
            exe: exe.into(),
            policy: PolicyName::Brain,
            dir,
            discovery: discovery.address,
            settings: settings(members),
            fronts: n,
            seed,
            record: false,
            mode: StartMode::LastList,
            host,
            wires: Some(wires.clone()),
            members: true,
            platform: None,
        };
        Ok(Fleet { fronts: Fronts::new(command, log), wires, _discovery: discovery })
    }

    /// Starts all of them and waits until they have found each other.
    ///
    /// # Errors
    /// One did not start, or they did not.
    pub async fn start_all(&self, most: Duration) -> Result<(), MembersError> {
        for front in 0..self.fronts.count() {
            self.fronts.start(front).await?;
        }
        match self.until_agreed(most).await {
            Some(_) => Ok(()),
            None => Err(MembersError::Strangers(most)),
        }
    }

    /// What a front says of the fleet; `None`: it says nothing.
    pub async fn page(&self, front: usize) -> Option<Value> {
        let side = self.fronts.sides().into_iter().find(|(f, _)| *f == front)?.1;
        page(side).await
    }

    /// What all that run say; those that say nothing are left out.
    pub async fn pages(&self) -> Vec<(usize, Value)> {
        let asked = self.fronts.sides().into_iter().map(|(f, side)| async move { (f, page(side).await) });
        let all = futures_util::future::join_all(asked).await;
        all.into_iter().filter_map(|(f, p)| Some((f, p?))).collect()
    }

    /// How a front's page sees another front.
    pub fn sure<'a>(&self, page: &'a Value, of: usize) -> Option<&'a str> {
        let address = self.wires.member(of).to_string();
        page["members"].as_array()?.iter().find(|m| m["address"] == *address)?["sure"].as_str()
    }

    /// Whether all that run see each other as there, and nobody else.
    pub async fn agreed(&self) -> bool {
        let (pages, n) = (self.pages().await, self.fronts.sides().len());
        let all = |p: &Value| p["view"]["at_least"] == n && p["view"]["at_most"] == n;
        pages.len() == n && pages.iter().all(|(_, p)| all(p))
    }

    /// Waits until what the fronts say is so; how long that took, or `None` when it did not come to be.
    pub async fn until(&self, most: Duration, so: impl Fn(&[(usize, Value)]) -> bool) -> Option<Duration> {
        let begun = Instant::now();
        while begun.elapsed() < most {
            if so(&self.pages().await) {
                return Some(begun.elapsed());
            }
            sleep(LOOK).await;
        }
        None
    }

    /// Waits until [`Fleet::agreed`].
    pub async fn until_agreed(&self, most: Duration) -> Option<Duration> {
        let begun = Instant::now();
        while begun.elapsed() < most {
            if self.agreed().await {
                return Some(begun.elapsed());
            }
            sleep(LOOK).await;
        }
        None
    }

    /// A fault of the wires of these fronts; ends by its number.
    pub fn fault(
        &self,
        effect: Effect,
        fronts: impl IntoIterator<Item = usize>,
        side: Side,
        among: bool,
    ) -> u64 {
        let (fronts, to) = (fronts.into_iter().collect(), BTreeSet::from([End::Fronts]));
        self.wires.faults.begin(Fault { effect, fronts, servers: BTreeSet::new(), side, among, to })
    }
}

async fn page(side: SocketAddr) -> Option<Value> {
    serde_json::from_slice(&get(side, "/v1/fleet", MOST_PAGE).await?).ok()
}

/// What was measured.
#[derive(Debug, Serialize)]
pub struct Measured {
    /// How many processes.
    pub processes: usize,
    /// The part of datagrams lost.
    pub loss: f64,
    /// Seconds until all had found each other, without loss.
    pub found_s: f64,
    /// For each death: seconds until the first and until the last that lives takes it for gone; `None`: not within a
    /// minute.
    pub deaths: Vec<(Option<f64>, Option<f64>)>,
    /// Members that lived and were taken for gone, by whom and whom, over the quiet span before the deaths.
    pub false_gone: usize,
    /// Of how many pairs.
    pub pairs: usize,
    /// The quiet span, s.
    pub quiet_s: f64,
    /// A member's datagrams and bytes sent a second, and its CPU in parts of a core, all on the mean.
    pub datagrams_s: f64,
    /// See above.
    pub bytes_s: f64,
    /// See above.
    pub cpu: f64,
}

/// Seconds of the quiet span.
const QUIET: u64 = 20;

/// Measures a fleet with the settings' defaults.
///
/// # Errors
/// It is not there.
pub async fn measure(
    exe: &Path,
    dir: PathBuf,
    n: usize,
    loss: f64,
    deaths: usize,
) -> Result<Measured, MembersError> {
    let fleet = Fleet::new(exe, dir, n, &serde_json::json!({}), 1).await?;
    let begun = Instant::now();
    fleet.start_all(Duration::from_secs(120)).await?;
    let found_s = begun.elapsed().as_secs_f64();
    fleet.fault(Effect::Loss(loss), 0..n, Side::Both, true);
    sleep(Duration::from_secs(5)).await;

    let sent = |pages: &[(usize, Value)], what: &str| -> f64 {
        pages.iter().map(|(_, p)| p["datagrams"][what].as_f64().unwrap_or(0.0)).sum()
    };
    let cpu = || (0..n).map(|f| fleet.fronts.cpu(f)).sum::<f64>();
    let (before, cpu_before, begun) = (fleet.pages().await, cpu(), Instant::now());
    let mut wrong = BTreeSet::new();
    for _ in 0..QUIET {
        sleep(Duration::from_secs(1)).await;
        for (by, page) in fleet.pages().await {
            let gone = (0..n).filter(|of| fleet.sure(&page, *of) == Some("gone"));
            wrong.extend(gone.map(|of| (by, of)));
        }
    }
    let (after, span) = (fleet.pages().await, begun.elapsed().as_secs_f64());
    let each = |what: &str| (sent(&after, what) - sent(&before, what)) / span / n as f64;
    let (datagrams_s, bytes_s) = (each("sent"), each("sent_bytes"));
    let used = (cpu() - cpu_before) / span / n as f64;

    let mut seen = Vec::new();
    for death in 0..deaths.min(n.saturating_sub(4)) {
        // Not one of the seeds.
        let victim = n - 1 - death;
        fleet.fronts.kill(victim).await;
        let begun = Instant::now();
        let gone = |p: &Value| fleet.sure(p, victim) == Some("gone");
        let most = Duration::from_secs(60);
        let first = fleet.until(most, |pages| pages.iter().any(|(_, p)| gone(p))).await;
        let last = fleet.until(most, |pages| !pages.is_empty() && pages.iter().all(|(_, p)| gone(p))).await;
        let last = last.map(|_| begun.elapsed().as_secs_f64());
        seen.push((first.map(|d| d.as_secs_f64()), last));
    }
    fleet.fronts.stop().await;
    Ok(Measured {
        processes: n,
        loss,
        found_s,
        deaths: seen,
        false_gone: wrong.len(),
        pairs: n * (n - 1),
        quiet_s: span,
        datagrams_s,
        bytes_s,
        cpu: used,
    })
}
