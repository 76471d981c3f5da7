//! Small fleets and days.
#![allow(dead_code)]

use cloverhollow::{Class, Limits, Rules, Rung, Settings};
use cloverhollow_forecast::*;
use std::collections::BTreeMap;
use std::time::Duration;

pub fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

pub fn settings(cells: u64, racks: u64) -> Settings {
    let class = |worth: f64, live: bool| Class {
        target_setup_time: secs(2),
        worth,
        rate_scale: 1.0,
        min_rung: 0,
        max_rung: 2,
        live,
        at_most_once: live,
        ..Class::default()
    };
    let rung = |rate, worth| Rung { rate_kb_per_s: rate, worth };
    Settings {
        front_count: 4,
        classes: vec![class(1.0, false), class(3.0, true)],
        ladder: vec![rung(300.0, 0.4), rung(700.0, 0.75), rung(1_500.0, 1.0)],
        max_streams_by_kind: vec![60.0],
        link_unit_kb_per_s: 30_000.0,
        sized_by_weight: true,
        rack_uplink_kb_per_s: 50_000.0,
        cell_count: cells,
        rack_count: racks,
        join_cost_fraction: 1.0,
        report_delay: secs(1),
        report_interval: secs(5),
        limits: Limits { max_attempts: 2, max_retry_after: secs(5) },
        rules: Rules {
            warm_up: secs(30),
            cold_capacity_fraction: 0.3,
            overload_multiple: 4.0,
            overload_window: secs(10),
            ..Rules::default()
        },
        ..Settings::default()
    }
}

/// Servers in two halls, a cell each, and titles on two cells each.
pub fn layout(servers: u64, titles: u64, racks: usize, uplink_kb: f64) -> Layout {
    let server = |i: u64| LaidServer {
        server: i + 1,
        hall: (i % 2) as usize,
        rack: i as usize % racks.max(1),
        cell: i,
        kind: 0,
        weight: 1.0,
    };
    Layout {
        generation: 1,
        servers: (0..servers).map(server).collect(),
        uplinks_kb: vec![uplink_kb; racks],
        titles: (0..titles).map(|t| LaidTitle { title: t, first_cell: t % servers, cells: 2 }).collect(),
        fronts: vec![0, 1, 0, 1],
        serves: vec![vec![(0, 0.9), (1, 0.1)], vec![(1, 0.9), (0, 0.1)]],
    }
}

/// So many sessions a minute over the titles, each of five minutes, for twenty minutes of each day.
pub fn demand(titles: u64, a_minute: f64, days: &[f64]) -> Demand {
    let line = |t: u64, by: f64, hall| Asked {
        title: t,
        class: 0,
        tenant: Some((t % 2) as usize),
        hall,
        began: a_minute * by / titles as f64 / 2.0,
        at_once: 0.0,
        played: secs(300),
    };
    let minute = |by: f64| (0..titles).flat_map(|t| [line(t, by, 0), line(t, by, 1)]).collect::<Vec<_>>();
    let day = |by: &f64| (0..20).map(|m| (m, minute(*by))).collect::<BTreeMap<_, _>>();
    Demand { until: secs(86_400), burst: secs(5), days: days.iter().map(day).collect() }
}

pub fn plan(seed: u64) -> Plan {
    Plan {
        manner: Manner {
            modules: 8,
            setup: Duration::from_millis(100),
            uneven: 0.3,
            all_notes: false,
            waits: secs(8),
        },
        minutes: 10,
        quick: 8,
        plays: 6,
        few: 2,
        most_sessions: 100_000,
        lasts: Duration::ZERO,
        seed,
    }
}

pub const DAYS: [f64; 5] = [1.0, 1.03, 0.98, 1.02, 0.97];

pub fn judge(steps: &[Layout], settings: &Settings, demand: &Demand, seed: u64) -> Verdict {
    judge_by(Bars::default(), steps, settings, demand, seed)
}

pub fn judge_by(bars: Bars, steps: &[Layout], settings: &Settings, demand: &Demand, seed: u64) -> Verdict {
    let (plan, record) = (plan(seed), Record::default());
    let now = demand.until + secs(600);
    let asking = Asking { settings, steps, demand, now, record: &record, bars, plan: &plan };
    assess(&asking).expect("the layouts are fine")
}
