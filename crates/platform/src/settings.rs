//! Settings of one instance, as the simulator's first message and `NODE_CONFIG` both contain them, converted to the types
//! of the decision module. Nothing is decided here.

mod numbers;
mod wire;

use crate::link_monitor::LinkMonitorConfig;
use cloverhollow::{Class, Limits, RetryBudget, Rules, Rung, Settings, Tenant};
use cloverhollow_session::{ClassConfig, CoreConfig};
use numbers::Whole;
use std::sync::Arc;
use std::time::Duration;
use wire::{WireGrade, WireSettings};

/// Converts milliseconds to a duration. Negative values and NaN become zero; values above 1e14 ms (about 3000 years) are
/// reduced to it.
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, 1e14).max(0.0) / 1e3)
}

/// Converts a number to a whole one, rounding down; negative values and NaN become zero.
pub fn whole_number(value: f64) -> usize {
    value.max(0.0) as usize
}

/// Index of `name` in a list of names.
pub fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// Constant part of the margin on the number of set-ups at a cold server.
///
/// If the settings allow N set-ups in their time span, up to N + 2 sqrt(N) + 2 are attributed to chance. The platform
/// specifies these figures, but its settings do not contain them. Its servers are overloaded only beyond
/// N + 3 sqrt(N) + 3; the stricter bound is used.
const OVERLOAD_MARGIN: f64 = 2.0;
/// Factor of sqrt(N) in the margin on the number of set-ups at a cold server; see [`OVERLOAD_MARGIN`].
const OVERLOAD_MARGIN_ROOT: f64 = 2.0;

/// Upper bound of the attempts for one request, even if the settings allow more; equals that of the session core.
const MAX_ATTEMPTS: usize = 16;
/// Connect time-out if the settings contain none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Target set-up time of a class with neither a target nor a deadline: longer than any viewer waits.
const NO_TARGET: Duration = Duration::from_secs(3_600);
/// Effect of a class whose set-ups may be repeated even if an earlier attempt may have been executed.
const IDEMPOTENT: &str = "idempotent";

/// Names in the settings of one instance, in the order of the indices that stand for them.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the kinds of servers.
    pub kinds: Vec<String>,
    /// Name of the front's own zone.
    pub zone: String,
}

/// The settings of one instance.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names for the indices in `settings`.
    pub names: Names,
    /// Maximum waiting time of a viewer, by class; zero if the settings contain none.
    pub deadlines: Vec<Duration>,
    /// Time-out for connecting to a server; never zero.
    pub connect_timeout: Duration,
    /// Time after which servers close an idle connection; zero if the settings contain none.
    pub idle_close: Duration,
    /// True if session managers may send each other datagrams.
    pub peer_datagrams: bool,
    /// Name and effect of each class with an unknown effect. Its set-ups are treated as at-most-once.
    pub unknown_effects: Vec<(String, String)>,
}

/// Parses and validates the settings of one instance.
///
/// # Errors
/// The first invalid field, and what is wrong with it.
pub fn read(value: serde_json::Value) -> Result<SiteSettings, String> {
    let wire: WireSettings =
        serde_path_to_error::deserialize(value).map_err(|e| format!("`{}`: {}", e.path(), e.inner()))?;
    wire.check()?;
    let peer_datagrams = wire.limits.peers;
    let (connect, idle_close) = (wire.limits.connect_timeout.0, wire.limits.idle_close.0);
    let connect_timeout = if connect.is_zero() { DEFAULT_CONNECT_TIMEOUT } else { connect };
    let domain = wire.domain;
    let get = |list: &[Whole], i: usize| list.get(i).map(|w| w.0);
    let highest_rung = domain.level_kb.len().saturating_sub(1);
    let class = |(i, grade): (usize, &WireGrade)| Class {
        // Without a target the deadline is used: with a target of zero each first attempt would end at once.
        target_setup_time: [grade.aim.0, grade.deadline.0]
            .into_iter()
            .find(|t| !t.is_zero())
            .unwrap_or(NO_TARGET),
        at_most_once: grade.effect != IDEMPOTENT,
        worth: grade.importance.0,
        rate_scale: domain.scale_by_class.get(i).map_or(1.0, |s| s.0),
        min_rung: get(&domain.floor_by_class, i).unwrap_or(0),
        max_rung: get(&domain.class_top, i).unwrap_or(highest_rung),
        live: domain.class_live.get(i).copied().unwrap_or(false),
        max_sessions_per_title: get(&domain.seats, i).unwrap_or(0),
    };
    let worth = |i: usize| domain.ladder_worth.get(i).map_or(0.0, |w| w.0);
    let rates = domain.level_kb.iter().enumerate();
    let rules = wire.invariants;
    let settings = Settings {
        front_count: wire.balancers.0,
        front_index: wire.index.map(|i| i.0),
        classes: wire.grades.iter().enumerate().map(class).collect(),
        ladder: rates.map(|(i, rate)| Rung { rate_kb_per_s: rate.0, worth: worth(i) }).collect(),
        tenants: wire.tenants.iter().map(|t| Tenant { quota_per_s: t.quota_per_s.0 }).collect(),
        over_quota_worth: wire.over_share_worth.0,
        max_streams_by_kind: domain.places_by_kind.iter().map(|p| p.0).collect(),
        link_unit_kb_per_s: domain.link_unit_kb.0,
        sized_by_weight: wire.weights != "none",
        rack_uplink_kb_per_s: domain.rack_link_kb.0,
        cell_count: domain.places.0 as u64,
        rack_count: domain.shelves.0 as u64,
        join_cost_fraction: domain.join.map_or(1.0, |j| j.0),
        report_delay: domain.told_late.0,
        report_interval: domain.told_every.0,
        limits: Limits {
            max_attempts: wire.limits.most_tries.map_or(1, |t| t.0.min(MAX_ATTEMPTS)) as u32,
            max_retry_after: if wire.limits.retry_after {
                wire.limits.max_retry_after.0
            } else {
                Duration::ZERO
            },
        },
        rules: Rules {
            warm_up: rules.cold.0,
            cold_capacity_fraction: rules.cold_from.0,
            overload_multiple: rules.fall_multiple.0,
            overload_window: rules.fall.0,
            overload_margin: OVERLOAD_MARGIN,
            overload_margin_root: OVERLOAD_MARGIN_ROOT,
            retry_budget: rules.budget_span.map(|span| RetryBudget {
                base: rules.budget_free.map_or(0.0, |f| f.0),
                per_request: rules.extra_share.map_or(0.0, |s| s.0),
                window: span.0,
            }),
            list_refresh_interval: rules.ask_within.0,
        },
        list_pushed: wire.discovery != "on_request",
    };
    let unknown = |grade: &&WireGrade| grade.effect != IDEMPOTENT && grade.effect != "at_most_once";
    let unknown_effects =
        wire.grades.iter().filter(unknown).map(|g| (g.name.clone(), g.effect.clone())).collect();
    let deadlines = wire.grades.iter().map(|g| g.deadline.0).collect();
    let names = Names {
        classes: wire.grades.into_iter().map(|g| g.name).collect(),
        tenants: wire.tenants.into_iter().map(|t| t.name).collect(),
        kinds: wire.kinds,
        zone: wire.zone,
    };
    Ok(SiteSettings {
        settings,
        names,
        deadlines,
        connect_timeout,
        idle_close,
        peer_datagrams,
        unknown_effects,
    })
}

/// Maximum number of sessions held: more than the video servers of one session manager can carry.
const MAX_SESSIONS: usize = 16_384;
/// Number of paid sessions remembered as possibly executed: the sessions of an hour at nine a second, in about a megabyte.
const MAX_PAID_SESSIONS: usize = 32_768;
/// Time before the end of a viewer's waiting time at which its response is sent: covers the way to the viewer, and what
/// has passed on the viewer's clock before the request is read here.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);

impl SiteSettings {
    /// Parameters for monitoring the connections to video servers, of which `max_idle` may be idle.
    pub fn link_monitor_config(&self, max_idle: usize) -> LinkMonitorConfig {
        LinkMonitorConfig {
            report_interval: self.settings.report_interval,
            idle_close: self.idle_close,
            connect_timeout: self.connect_timeout,
            max_idle,
        }
    }

    /// Configuration of the session core for these settings.
    pub fn core_config(&self) -> CoreConfig {
        let s = &self.settings;
        let classes = s.classes.iter().zip(&self.deadlines);
        CoreConfig {
            classes: classes.map(|(c, &deadline)| ClassConfig { paid: c.at_most_once, deadline }).collect(),
            // Rates in kbps serve the hints of players; the platform has no such hints.
            rates_kbps: s.classes.iter().map(|_| Arc::from([])).collect(),
            server_kinds: self.names.kinds.clone(),
            zone: self.names.zone.clone(),
            retry_after: s.limits.max_retry_after,
            answer_margin: RESPONSE_MARGIN,
            max_sessions: MAX_SESSIONS,
            max_waiting: 1,
            max_paid_sessions: MAX_PAID_SESSIONS,
            idle_timeout: None,
            persistence: None,
        }
    }
}
