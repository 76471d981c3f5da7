//! The platform's settings of one instance, as the simulator's first message and NODE_CONFIG both carry them,
//! in the decision module's words. Translation only; nothing is decided here.

use cloverhollow::{Class, Limits, Ration, Rules, Rung, Settings, Tenant};
use serde::Deserialize;
use std::time::Duration;

/// Milliseconds as a span; nonsense becomes zero or, if huge, some thousand years.
pub fn span(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, 1e14).max(0.0) / 1e3)
}

/// A figure as a whole number; what is under zero or none is zero.
pub fn whole(v: f64) -> usize {
    v.max(0.0) as usize
}

/// Which of the names it is.
pub fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// Beyond N set-ups in the time that the settings name, N being what they allow a cold server then, 2 x root of N + 2 are
/// put down to chance: the platform's own words, which its settings don't repeat. Its servers fall later, past
/// N + 3 x root of N + 3; the stricter line is kept.
const FALL_FREE: f64 = 2.0;
/// See above.
const FALL_ROOT: f64 = 2.0;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireSetup {
    #[serde(default)]
    balancers: f64,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    domain: WireDomain,
    #[serde(default)]
    grades: Vec<WireGrade>,
    index: Option<f64>,
    #[serde(default)]
    invariants: WireRules,
    #[serde(default)]
    kinds: Vec<String>,
    #[serde(default)]
    limits: WireLimits,
    #[serde(default)]
    over_share_worth: f64,
    #[serde(default)]
    tenants: Vec<WireTenant>,
    #[serde(default)]
    weights: String,
    #[serde(default)]
    zone: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct WireDomain {
    class_live: Vec<bool>,
    class_top: Vec<f64>,
    floor_by_class: Vec<f64>,
    join: Option<f64>,
    ladder_worth: Vec<f64>,
    level_kb: Vec<f64>,
    link_unit_kb: f64,
    places: f64,
    places_by_kind: Vec<f64>,
    rack_link_kb: f64,
    scale_by_class: Vec<f64>,
    seats: Vec<f64>,
    shelves: f64,
    told_every: f64,
    told_late: f64,
}

#[derive(Deserialize)]
struct WireGrade {
    #[serde(default)]
    aim: f64,
    #[serde(default)]
    deadline: f64,
    #[serde(default)]
    effect: String,
    #[serde(default)]
    importance: f64,
    name: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct WireRules {
    ask_within: f64,
    budget_free: Option<f64>,
    budget_span: Option<f64>,
    cold: f64,
    cold_from: f64,
    extra_share: Option<f64>,
    fall: f64,
    fall_multiple: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct WireLimits {
    connect_timeout: f64,
    idle_close: f64,
    max_retry_after: f64,
    most_tries: f64,
    retry_after: bool,
    peers: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireTenant {
    name: String,
    #[serde(default)]
    quota_per_s: f64,
}

/// The names that one instance's settings gave, to turn names into indices.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Of the classes.
    pub classes: Vec<String>,
    /// Of the tenants.
    pub tenants: Vec<String>,
    /// Of the kinds of servers.
    pub kinds: Vec<String>,
    /// Of the front's own zone.
    pub zone: String,
}

/// What the settings say.
#[derive(Clone, Debug)]
pub struct Site {
    /// For the decision module.
    pub settings: Settings,
    /// The names that indices stand for.
    pub names: Names,
    /// How long a viewer of each class waits at most; zero: not told.
    pub deadlines: Vec<Duration>,
    /// A connection not made after this counts as impossible.
    pub connect_timeout: Duration,
    /// An idle connection is closed after this; zero: not told.
    pub idle_close: Duration,
    /// Session managers may send each other datagrams.
    pub peers: bool,
}

/// Reads the settings of one instance.
///
/// # Errors
/// Which field is wrong, and how.
pub fn read(value: serde_json::Value) -> Result<Site, String> {
    let w: WireSetup =
        serde_path_to_error::deserialize(value).map_err(|e| format!("`{}`: {}", e.path(), e.inner()))?;
    let peers = w.limits.peers;
    let (connect_timeout, idle_close) = (span(w.limits.connect_timeout), span(w.limits.idle_close));
    let d = w.domain;
    let at = |list: &[f64], i: usize| list.get(i).copied();
    let highest = d.level_kb.len().saturating_sub(1);
    let class = |(i, g): (usize, &WireGrade)| Class {
        aim: span(g.aim),
        at_most_once: g.effect != "idempotent",
        worth: g.importance,
        scale: at(&d.scale_by_class, i).unwrap_or(1.0),
        floor: at(&d.floor_by_class, i).map_or(0, whole),
        top: at(&d.class_top, i).map_or(highest, whole),
        live: d.class_live.get(i).copied().unwrap_or(false),
        seats: at(&d.seats, i).map_or(0, whole),
    };
    let rungs = d.level_kb.iter().enumerate();
    let r = w.invariants;
    let settings = Settings {
        fronts: whole(w.balancers),
        number: w.index.map(whole),
        classes: w.grades.iter().enumerate().map(class).collect(),
        ladder: rungs.map(|(i, &rate)| Rung { rate, worth: at(&d.ladder_worth, i).unwrap_or(0.0) }).collect(),
        tenants: w.tenants.iter().map(|t| Tenant { quota: t.quota_per_s }).collect(),
        over_share_worth: w.over_share_worth,
        streams_by_kind: d.places_by_kind,
        link_unit: d.link_unit_kb,
        weights_tell_size: w.weights != "none",
        rack_uplink: d.rack_link_kb,
        cells: whole(d.places) as u64,
        racks: whole(d.shelves) as u64,
        join: d.join.unwrap_or(1.0),
        told_late: span(d.told_late),
        told_every: span(d.told_every),
        limits: Limits {
            attempts: whole(w.limits.most_tries) as u32,
            hold_off: if w.limits.retry_after { span(w.limits.max_retry_after) } else { Duration::ZERO },
        },
        rules: Rules {
            cold: span(r.cold),
            cold_from: r.cold_from,
            fall_multiple: r.fall_multiple,
            fall_span: span(r.fall),
            fall_free: FALL_FREE,
            fall_root: FALL_ROOT,
            ration: r.budget_span.map(|s| Ration {
                free: r.budget_free.unwrap_or(0.0),
                share: r.extra_share.unwrap_or(0.0),
                span: span(s),
            }),
            ask_within: span(r.ask_within),
        },
        list_pushed: w.discovery != "on_request",
    };
    let deadlines = w.grades.iter().map(|g| span(g.deadline)).collect();
    let names = Names {
        classes: w.grades.into_iter().map(|g| g.name).collect(),
        tenants: w.tenants.into_iter().map(|t| t.name).collect(),
        kinds: w.kinds,
        zone: w.zone,
    };
    Ok(Site { settings, names, deadlines, connect_timeout, idle_close, peers })
}
