//! All that is drawn for a day, from its seed alone: the fleet and each viewer. Streams of random numbers are
//! split by purpose, so that one change does not redraw the rest.

use crate::model::{ColdFacts, Fleet, Rack, Server, ServerFacts};
use crate::script::{Kind, Script};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A stream of random numbers for one purpose.
pub fn stream(seed: u64, purpose: &str) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(cloverhollow_settings::title_id(purpose));
    rng
}

/// How a viewer's hints look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HintStyle {
    /// In the four headers.
    Headers,
    /// In the query argument.
    Query,
    /// `br` over `tb`, and another figure in the query than in the headers.
    Contradictory,
    /// `su` with a full buffer.
    FullBuffer,
    /// Keys that are none, in wrong headers, of wrong types.
    Garbled,
    /// A `cid` that changes on the way.
    ChangingCid,
}

/// One viewer's session as it is wanted.
#[derive(Clone, Debug)]
pub struct Viewer {
    /// Its number.
    pub id: usize,
    /// When it comes.
    pub at: Duration,
    /// Its hall, by index.
    pub hall: usize,
    /// Its class, by index in the settings.
    pub class: usize,
    /// Its tenant, by index in the settings.
    pub tenant: usize,
    /// The title's name.
    pub title: String,
    /// The highest rung that it can use.
    pub top: usize,
    /// How long it is wanted, the day's end at most.
    pub length: Duration,
    /// It hangs up after this, while it waits.
    pub hang_up: Option<Duration>,
    /// It goes without a word.
    pub silent_end: bool,
    /// It asks twice at once.
    pub twice: bool,
    /// It sends the same request again where a front broke off before its answer.
    pub resends: bool,
    /// Its hints.
    pub hints: HintStyle,
    /// Seed of what it draws on its way.
    pub seed: u64,
}

fn spread(rng: &mut ChaCha8Rng, uneven: f64) -> f64 {
    1.0 + uneven * (rng.random::<f64>() * 2.0 - 1.0)
}

/// The fleet as it truly is.
pub fn fleet(script: &Script) -> Fleet {
    let (f, told) = (&script.fleet, &script.front);
    let mut rng = stream(script.seed.get(), "fleet");
    let racks = told.fleet.rack_count.as_usize().max(1);
    let mut servers = std::collections::BTreeMap::new();
    let mut links = vec![0.0; racks];
    let total = f.servers.get();
    let mut bounds = Vec::new();
    let mut upto = 0;
    for kind in &f.kinds {
        upto += kind.permille.get();
        bounds.push((total * upto).div_ceil(1_000));
    }
    for i in 0..total {
        let kind = bounds.iter().position(|b| i < *b).unwrap_or(f.kinds.len() - 1);
        let kind = &f.kinds[kind];
        let link_kb = kind.link_kb.get() * spread(&mut rng, f.uneven.get());
        let cell = i % told.fleet.cell_count.get().max(1);
        links[(cell % racks as u64) as usize] += link_kb;
        let facts = ServerFacts {
            id: 101 + i,
            hall: f.halls[i as usize % f.halls.len()].as_str().into(),
            kind: kind.name.as_str().into(),
            cell,
            weight: 1.0,
            link_kb,
            streams: kind.streams.as_usize(),
            setup: f.setup_ms.get(),
        };
        let mut server = Server::new(facts);
        server.full_from = f.full_from.get();
        // Sessions of a front that died are held until their idle time, but nobody fetches them.
        server.active = script.viewers.object_ms.get() * 3;
        servers.insert(101 + i, server);
    }
    let uplink = |sum: f64, rng: &mut ChaCha8Rng| match told.fleet.rack_count.get() {
        0 => f64::INFINITY,
        _ => sum * f.uplink.get() * spread(rng, f.uneven.get()),
    };
    let racks = links.into_iter().map(|sum| Rack { uplink_kb: uplink(sum, &mut rng), factor: 1.0 }).collect();
    Fleet { cold: cold(script), servers, racks }
}

/// How fresh servers warm, by the rules' figures and the script's slack.
pub fn cold(script: &Script) -> ColdFacts {
    let rules = &script.front.rules;
    ColdFacts {
        span: rules.warm_up_ms.get(),
        from: rules.cold_capacity_fraction.get(),
        multiple: rules.overload_multiple.get(),
        window: rules.overload_window_ms.get(),
        slack: script.fleet.slack.get(),
    }
}

/// Sessions a second at load 1: 92% of links and uplinks filled at the middle rate.
pub fn rate_at_one(script: &Script, fleet: &Fleet) -> f64 {
    let links: f64 = fleet.servers.values().map(|s| s.facts.link_kb).sum();
    let uplinks: f64 = fleet.racks.iter().map(|r| r.uplink_kb).sum();
    let ladder = &script.front.ladder.0;
    let middle =
        (ladder[(ladder.len() - 1) / 2].kb_per_s.get() * ladder[ladder.len() / 2].kb_per_s.get()).sqrt();
    let classes = script.viewers.classes.iter().map(|p| {
        let class = script.front.classes.0.iter().find(|c| c.name == p.name);
        class.map_or(1.0, |c| c.rate_scale.get()) * p.permille.get() as f64 / 1e3
    });
    let scale: f64 = classes.sum();
    let life = mean_life(script);
    0.92 * links.min(uplinks) / (middle * scale * life).max(1e-9)
}

fn mean_life(script: &Script) -> f64 {
    let (lo, hi) = (script.viewers.life_ms.0.get(), script.viewers.life_ms.1.get());
    (lo + hi).as_secs_f64() / 2.0
}

fn pick(rng: &mut ChaCha8Rng, weights: &[f64]) -> usize {
    let total: f64 = weights.iter().sum();
    let mut at = rng.random::<f64>() * total;
    for (i, w) in weights.iter().enumerate() {
        at -= w;
        if at < 0.0 {
            return i;
        }
    }
    weights.len().saturating_sub(1)
}

/// All viewers, by their time. Those under way at the start come within its first seconds, with what is left
/// of their sessions.
pub fn viewers(script: &Script, fleet: &Fleet) -> Vec<Viewer> {
    let seed = script.seed.get();
    let (mut times, mut traits) = (stream(seed, "arrivals"), stream(seed, "viewers"));
    let one = rate_at_one(script, fleet);
    let end = script.length_ms.get().as_secs_f64();
    let mut at = Vec::new();
    let under_way = one * script.load_at(Duration::ZERO) * mean_life(script);
    for _ in 0..under_way.round() as usize {
        at.push((times.random::<f64>() * UNDER_WAY.as_secs_f64().min(end / 3.0), times.random::<f64>()));
    }
    let peak = script.viewers.demand.iter().map(|d| d.load.get()).fold(0.0, f64::max) * one;
    let bursts: Vec<_> = script.troubles.iter().filter(|t| t.kind == Kind::TenantBurst).collect();
    let tenant_part = |name: Option<&str>| {
        let part = script.viewers.tenants.iter().find(|t| Some(t.name.as_str()) == name);
        part.map_or(0.0, |t| t.permille.get() as f64 / 1e3)
    };
    let mut forced = Vec::new();
    // Thinning: candidates at the peak's rate, kept with the part that demand is of it.
    for t in poisson(&mut times, peak, 0.0, end) {
        if times.random::<f64>() * peak < script.load_at(Duration::from_secs_f64(t)) * one {
            at.push((t, 1.0));
        }
    }
    for burst in bursts {
        let name = burst.tenant.as_ref().map(|n| n.as_str());
        let (from, upto) = (burst.at_ms.get(), burst.at_ms.get() + burst.for_ms.get());
        let rate = one * script.load_at(from) * tenant_part(name) * (burst.size.get() - 1.0).max(0.0);
        let tenant = script.viewers.tenants.iter().position(|p| Some(p.name.as_str()) == name);
        for t in poisson(&mut times, rate, from.as_secs_f64(), upto.as_secs_f64().min(end)) {
            forced.push((at.len(), tenant));
            at.push((t, 1.0));
        }
    }
    let mut all: Vec<Viewer> = at
        .iter()
        .enumerate()
        .map(|(i, (t, left))| {
            let mut v = viewer(script, &mut traits, *t, *left, end);
            if let Some((_, Some(tenant))) = forced.iter().find(|(n, _)| *n == i) {
                v.tenant = tenant_index(script, *tenant);
            }
            v
        })
        .collect();
    all.sort_by_key(|v| v.at);
    let mut resends = stream(seed, "resends");
    for (i, v) in all.iter_mut().enumerate() {
        v.id = i;
        v.resends = resends.random::<f64>() < script.viewers.resends.get();
    }
    all
}

/// Times of a Poisson process at that rate a second, from `from` until `upto`.
fn poisson(rng: &mut ChaCha8Rng, rate: f64, from: f64, upto: f64) -> Vec<f64> {
    let (mut t, mut all) = (from, Vec::new());
    if rate <= 0.0 {
        return all;
    }
    loop {
        t += -(1.0 - rng.random::<f64>()).ln() / rate;
        if t >= upto {
            return all;
        }
        all.push(t);
    }
}

/// Sessions under way at the start come within this.
const UNDER_WAY: Duration = Duration::from_secs(6);

fn tenant_index(script: &Script, part: usize) -> usize {
    let name = &script.viewers.tenants[part].name;
    script.front.tenants.iter().position(|t| t.name == *name).unwrap_or(0)
}

fn viewer(script: &Script, rng: &mut ChaCha8Rng, at: f64, left: f64, end: f64) -> Viewer {
    let v = &script.viewers;
    let weights: Vec<f64> = v.classes.iter().map(|p| p.permille.get() as f64).collect();
    let part = &v.classes[pick(rng, &weights)].name;
    let class = script.front.classes.0.iter().position(|c| c.name == *part).unwrap_or(0);
    let weights: Vec<f64> = v.tenants.iter().map(|p| p.permille.get() as f64).collect();
    let tenant = tenant_index(script, pick(rng, &weights));
    let titles: Vec<f64> = (1..=v.titles.as_usize()).map(|n| (n as f64).powf(-v.zipf.get())).collect();
    let title = format!("{}-{}", part.as_str(), pick(rng, &titles));
    let rungs = script.front.ladder.0.len();
    let small = rng.random::<f64>() < v.small_screens.get();
    let (lo, hi) = (v.life_ms.0.get().as_secs_f64(), v.life_ms.1.get().as_secs_f64());
    let life = (lo + (hi - lo) * rng.random::<f64>()) * left;
    let hangs = rng.random::<f64>() < v.hang_up.get();
    let hang_after = Duration::from_millis(rng.random_range(0..40));
    let silent_end = rng.random::<f64>() < v.silent_end.get();
    let twice = rng.random::<f64>() < v.twice.get();
    let odd = rng.random::<f64>() < v.odd_hints.get();
    let style = rng.random_range(0..4);
    let query = rng.random_range(0..3) == 0;
    let hints = match (odd, style) {
        (true, 0) => HintStyle::Contradictory,
        (true, 1) => HintStyle::FullBuffer,
        (true, 2) => HintStyle::Garbled,
        (true, _) => HintStyle::ChangingCid,
        (false, _) if query => HintStyle::Query,
        (false, _) => HintStyle::Headers,
    };
    Viewer {
        id: 0,
        at: Duration::from_secs_f64(at),
        hall: rng.random_range(0..script.fleet.halls.len()),
        class,
        tenant,
        title,
        top: if small { (rungs - 1) / 2 } else { rungs - 1 },
        length: Duration::from_secs_f64(life.min(end - at).max(0.0)),
        hang_up: hangs.then_some(hang_after),
        silent_end,
        twice,
        resends: false,
        hints,
        seed: rng.random(),
    }
}
