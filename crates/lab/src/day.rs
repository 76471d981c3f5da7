//! Plays a day: stand-ins, discovery, fronts as processes, viewers and troubles on loopback; then the rules
//! are checked from what passed.

use crate::client::Clients;
use crate::exchange::{Log, Seen};
use crate::fleet::peer_cost;
use crate::fronts::{forget, keep_file, FrontCommand, FrontError, Fronts, StartMode};
pub use crate::outcome::Outcome;
use crate::plan;
use crate::policies::PolicyName;
use crate::rules;
use crate::script::Day;
use crate::standin::{Discovery, ServerHandle, World};
use crate::troubles::{entry, Stage};
use crate::viewer::Audience;
use crate::wires::Wires;
use cloverhollow_session::WireState;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// A session not heard of for so long is let go by a stand-in; fronts let go first.
const SERVER_IDLE: Duration = Duration::from_secs(60);
/// Time after the day's length for what is out to be answered.
const END: Duration = Duration::from_secs(8);

/// How a day is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// This program, which the fronts are processes of.
    pub exe: PathBuf,
    /// Who decides.
    pub policy: PolicyName,
    /// Folder for settings, last lists, records and logs of the fronts.
    pub dir: PathBuf,
    /// Whether the fronts record each step.
    pub record: bool,
    /// What fronts know that come back.
    pub mode: StartMode,
    /// The loopback address that all of it listens at.
    pub host: Ipv4Addr,
    /// The fronts are session managers of the platform, and so is all round them.
    pub platform: bool,
}

/// Why a day could not be played.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs)] // the messages say it
pub enum DayError {
    #[error("a stand-in cannot listen: {0}")]
    StandIn(std::io::Error),
    #[error("{0}")]
    Front(#[from] FrontError),
    #[error("{dir}: {source}")]
    Dir { dir: String, source: std::io::Error },
}

/// Plays a day to its end.
///
/// # Errors
/// A stand-in or a front did not start.
pub async fn play(day: &Day, options: &Options) -> Result<Outcome, DayError> {
    let script = &day.script;
    let dir = |source| DayError::Dir { dir: options.dir.display().to_string(), source };
    std::fs::create_dir_all(&options.dir).map_err(dir)?;
    // What was kept of another day would be lies.
    for front in 0..script.fronts.as_usize() {
        forget(&keep_file(&options.dir, front));
    }
    let mut fleet = plan::fleet(script);
    if options.platform {
        // Servers push: nobody has to fetch.
        fleet.servers.values_mut().for_each(|s| s.active = Duration::MAX);
    }
    let viewers = plan::viewers(script, &fleet);
    let log = Arc::new(Log::begin());
    let site = Arc::new(script.front.clone());
    let world = Arc::new(World {
        fleet: Mutex::new(fleet),
        log: log.clone(),
        host: options.host,
        site,
        idle: SERVER_IDLE,
        object: script.viewers.object_ms.get(),
        bytes_per_kb: script.fleet.bytes_per_kb.get(),
        vary: script.fleet.vary.get(),
        fronts: if options.platform { script.fronts.as_usize() } else { 0 },
        asked: Mutex::default(),
        stood: Mutex::default(),
    });
    let discovery = Discovery::start(log.clone(), options.host).await.map_err(DayError::StandIn)?;
    discovery.listen_for(world.fronts, options.host).await.map_err(DayError::StandIn)?;
    let servers = start_servers(&world, &discovery).await.map_err(DayError::StandIn)?;
    let mut leading = JoinSet::new();
    let wires = match script.wires || script.members {
        true if !options.platform => {
            let n = script.fronts.as_usize();
            let ids: Vec<u64> = servers.keys().copied().collect();
            let wires =
                Wires::start(n, &ids, discovery.address, options.host, script.seed.get(), log.clone()).await;
            let wires = Arc::new(wires.map_err(DayError::StandIn)?);
            servers.values().for_each(|s| drop(leading.spawn(s.lead(wires.clone()))));
            discovery.set_wires(wires.clone());
            Some(wires)
        }
        _ => None,
    };
    let command = FrontCommand {
        exe: options.exe.clone(),
        policy: options.policy,
        dir: options.dir.clone(),
        discovery: discovery.address,
        settings: day.front.clone(),
        fronts: script.fronts.as_usize(),
        seed: script.seed.get(),
        record: options.record,
        mode: options.mode,
        host: options.host,
        wires: wires.clone(),
        members: script.members,
        platform: options.platform.then(|| (script.clone(), discovery.clone())),
    };
    let fronts = Arc::new(Fronts::new(command, log.clone()));
    let clients = options.platform.then(|| Clients::new(fronts.clone(), log.clone()));
    for front in 0..fronts.count() {
        fronts.start(front).await?;
        if let Some(clients) = &clients {
            clients.hand_over(front, &world).await;
        }
    }
    // The fronts have their first list before the first viewer comes.
    sleep(Duration::from_millis(200)).await;

    discovery.set_first_after(script.first_list_ms.get());
    let start = log.now();
    let shifted = shift(script, start);
    let mut tasks = JoinSet::new();
    tasks.spawn(keep_house(world.clone(), script.fleet.report_every_ms.get()));
    let audience = Audience::new(shifted.clone(), fronts.clone(), log.clone(), start);
    let audience = Arc::new(Audience {
        platform: clients.clone().map(|clients| (world.clone(), clients)),
        deaf: options.policy.deaf(),
        ..audience
    });
    let stage = Arc::new(Stage {
        script: shifted,
        world: world.clone(),
        servers,
        discovery,
        fronts: fronts.clone(),
        wires: wires.clone(),
        clients: clients.clone(),
        reconfigures: tokio::sync::Mutex::default(),
        log: log.clone(),
    });
    tasks.spawn(stage.clone().play());
    if options.platform {
        tasks.spawn(fronts.clone().watch());
    }
    let count = viewers.len();
    let mut watching = JoinSet::new();
    for mut v in viewers {
        v.at += start;
        sleep(v.at.saturating_sub(log.now())).await;
        watching.spawn(audience.clone().live(v));
    }
    let end = start + script.length_ms.get();
    let _ =
        timeout(end.saturating_sub(log.now()) + END, async { while watching.join_next().await.is_some() {} })
            .await;
    drop(watching);
    let cost = peer_cost(&fronts).await;
    fronts.stop().await;
    drop(tasks);
    let exchanges = log.take();
    let check = if options.platform { rules::check_platform } else { rules::check };
    let rules = check(&exchanges, script);
    Ok(Outcome {
        day: script.name.as_str().into(),
        seed: script.seed.get(),
        policy: options.policy.to_string(),
        servers: script.fleet.servers.as_usize(),
        fronts: script.fronts.as_usize(),
        viewers: count,
        score: audience.tally.score(),
        toppled: rules::toppled(&exchanges),
        deaths: exchanges.iter().filter(|e| matches!(e.seen, Seen::FrontDown { .. })).count(),
        start,
        cost,
        faults: wires.map(|w| w.faults.reports()).unwrap_or_default(),
        rules,
        left: options.platform.then(|| rules::left(&exchanges)),
        exchanges,
    })
}

/// The script with its troubles on the clock of the log, on which the day begins at `start`.
fn shift(script: &crate::script::Script, start: Duration) -> crate::script::Script {
    let mut out = script.clone();
    for t in &mut out.troubles {
        t.at_ms = t.at_ms.saturating_add(start);
    }
    out
}

async fn start_servers(
    world: &Arc<World>,
    discovery: &Arc<Discovery>,
) -> std::io::Result<BTreeMap<u64, ServerHandle>> {
    let ids: Vec<u64> = world.fleet().servers.keys().copied().collect();
    let mut servers = BTreeMap::new();
    for id in ids {
        let handle = ServerHandle::start(id, world.clone()).await?;
        let entry = world.fleet().servers.get(&id).map(|s| entry(s, &handle, WireState::Serving));
        entry.into_iter().for_each(|e| discovery.publish(e, None));
        servers.insert(id, handle);
    }
    Ok(servers)
}

/// Takes loads down for late reports, and lets go of sessions that nobody asks for.
async fn keep_house(world: Arc<World>, every: Duration) {
    loop {
        let now = world.log.now();
        let ended: Vec<_> = {
            let mut fleet = world.fleet();
            fleet.record(now);
            let idle = world.idle;
            let all = fleet.servers.values_mut();
            all.flat_map(|s| s.idle(now, idle).into_iter().map(|sid| (s.facts.id, sid)).collect::<Vec<_>>())
                .collect()
        };
        for (server, sid) in ended {
            world.log.put(crate::exchange::Seen::SessionEnded { server, sid });
        }
        sleep(every).await;
    }
}
