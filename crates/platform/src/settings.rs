//! The platform's settings of one instance, as the simulator's first message and NODE_CONFIG both carry them,
//! in the decision module's words. Translation only; nothing is decided here.

mod figures;
mod wire;

use cloverhollow::{Class, Limits, RetryBudget, Rules, Rung, Settings, Tenant};
use cloverhollow_session::{ClassConfig, CoreConfig};
use figures::Whole;
use std::sync::Arc;
use std::time::Duration;
use wire::{WireGrade, WireSetup};

/// Milliseconds as a span; nonsense becomes zero or, if huge, some thousand years.
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, 1e14).max(0.0) / 1e3)
}

/// A figure as a whole number; what is under zero or none is zero.
pub fn whole_number(v: f64) -> usize {
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

/// Most attempts for one request, whatever more is allowed: the session core's own bound.
const MOST_ATTEMPTS: usize = 16;
/// A connection not made after this counts as impossible, where the settings don't say.
const CONNECT: Duration = Duration::from_secs(1);
/// What a class aims at that has neither aim nor deadline: longer than anybody waits.
const UNAIMED: Duration = Duration::from_secs(3_600);
/// The effect of a set-up that may be repeated though it may have run.
const REPEATABLE: &str = "idempotent";

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
pub struct SiteSettings {
    /// For the decision module.
    pub settings: Settings,
    /// The names that indices stand for.
    pub names: Names,
    /// How long a viewer of each class waits at most; zero: not told.
    pub deadlines: Vec<Duration>,
    /// A connection not made after this counts as impossible; never zero.
    pub connect_timeout: Duration,
    /// An idle connection is closed after this; zero: not told.
    pub idle_close: Duration,
    /// Session managers may send each other datagrams.
    pub peer_datagrams: bool,
    /// Classes whose effect is none of the two words that are known, with that word: none is repeated that may have run.
    pub unknown_effects: Vec<(String, String)>,
}

/// Reads the settings of one instance.
///
/// # Errors
/// Which field is wrong, and how.
pub fn read(value: serde_json::Value) -> Result<SiteSettings, String> {
    let w: WireSetup =
        serde_path_to_error::deserialize(value).map_err(|e| format!("`{}`: {}", e.path(), e.inner()))?;
    w.check()?;
    let peers = w.limits.peers;
    let (connect, idle_close) = (w.limits.connect_timeout.0, w.limits.idle_close.0);
    let connect_timeout = if connect.is_zero() { CONNECT } else { connect };
    let d = w.domain;
    let at = |list: &[Whole], i: usize| list.get(i).map(|w| w.0);
    let highest = d.level_kb.len().saturating_sub(1);
    let class = |(i, g): (usize, &WireGrade)| Class {
        // Without an aim the deadline is what is aimed at: with none at all each first attempt would be over at once.
        target_setup_time: [g.aim.0, g.deadline.0].into_iter().find(|t| !t.is_zero()).unwrap_or(UNAIMED),
        at_most_once: g.effect != REPEATABLE,
        worth: g.importance.0,
        rate_scale: d.scale_by_class.get(i).map_or(1.0, |s| s.0),
        min_rung: at(&d.floor_by_class, i).unwrap_or(0),
        max_rung: at(&d.class_top, i).unwrap_or(highest),
        live: d.class_live.get(i).copied().unwrap_or(false),
        max_sessions_per_title: at(&d.seats, i).unwrap_or(0),
    };
    let worth = |i: usize| d.ladder_worth.get(i).map_or(0.0, |w| w.0);
    let rungs = d.level_kb.iter().enumerate();
    let r = w.invariants;
    let settings = Settings {
        front_count: w.balancers.0,
        front_index: w.index.map(|i| i.0),
        classes: w.grades.iter().enumerate().map(class).collect(),
        ladder: rungs.map(|(i, rate)| Rung { rate_kb_per_s: rate.0, worth: worth(i) }).collect(),
        tenants: w.tenants.iter().map(|t| Tenant { quota_per_s: t.quota_per_s.0 }).collect(),
        over_quota_worth: w.over_share_worth.0,
        max_streams_by_kind: d.places_by_kind.iter().map(|p| p.0).collect(),
        link_unit_kb_per_s: d.link_unit_kb.0,
        sized_by_weight: w.weights != "none",
        rack_uplink_kb_per_s: d.rack_link_kb.0,
        cell_count: d.places.0 as u64,
        rack_count: d.shelves.0 as u64,
        join_cost_fraction: d.join.map_or(1.0, |j| j.0),
        report_delay: d.told_late.0,
        report_interval: d.told_every.0,
        limits: Limits {
            max_attempts: w.limits.most_tries.map_or(1, |t| t.0.min(MOST_ATTEMPTS)) as u32,
            max_retry_after: if w.limits.retry_after { w.limits.max_retry_after.0 } else { Duration::ZERO },
        },
        rules: Rules {
            warm_up: r.cold.0,
            cold_capacity_fraction: r.cold_from.0,
            overload_multiple: r.fall_multiple.0,
            overload_window: r.fall.0,
            overload_margin: FALL_FREE,
            overload_margin_root: FALL_ROOT,
            retry_budget: r.budget_span.map(|span| RetryBudget {
                base: r.budget_free.map_or(0.0, |f| f.0),
                per_request: r.extra_share.map_or(0.0, |s| s.0),
                window: span.0,
            }),
            list_refresh_interval: r.ask_within.0,
        },
        list_pushed: w.discovery != "on_request",
    };
    let unknown = |g: &&WireGrade| g.effect != REPEATABLE && g.effect != "at_most_once";
    let doubted = w.grades.iter().filter(unknown).map(|g| (g.name.clone(), g.effect.clone())).collect();
    let deadlines = w.grades.iter().map(|g| g.deadline.0).collect();
    let names = Names {
        classes: w.grades.into_iter().map(|g| g.name).collect(),
        tenants: w.tenants.into_iter().map(|t| t.name).collect(),
        kinds: w.kinds,
        zone: w.zone,
    };
    Ok(SiteSettings {
        settings,
        names,
        deadlines,
        connect_timeout,
        idle_close,
        peer_datagrams: peers,
        unknown_effects: doubted,
    })
}

/// Most sessions held: more than the video servers of a session manager this size can run.
const MOST_SESSIONS: usize = 16_384;
/// An answer goes out so long before the viewer's time is up: for the way there, and for what the clock at the
/// other end counts already when the request is read here.
const MARGIN: Duration = Duration::from_millis(20);

impl SiteSettings {
    /// What the session core is told of them.
    pub fn core_config(&self) -> CoreConfig {
        let s = &self.settings;
        let classes = s.classes.iter().zip(&self.deadlines);
        CoreConfig {
            classes: classes.map(|(c, &deadline)| ClassConfig { paid: c.at_most_once, deadline }).collect(),
            // Rates in kbps are for players' hints, which the platform has none of.
            rates_kbps: s.classes.iter().map(|_| Arc::from([])).collect(),
            server_kinds: self.names.kinds.clone(),
            zone: self.names.zone.clone(),
            retry_after: s.limits.max_retry_after,
            answer_margin: MARGIN,
            max_sessions: MOST_SESSIONS,
            max_waiting: 1,
            idle_timeout: None,
            persistence: None,
        }
    }
}
