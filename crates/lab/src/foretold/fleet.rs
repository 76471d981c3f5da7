//! Fleets as they are drawn.

use crate::plan::stream;
use cloverhollow::{Class, Limits, Rules, Rung, Settings};
use cloverhollow_forecast::{LaidServer, LaidTitle, Layout};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A drawn fleet: its settings, the layout that is foretold, and the one that holds before.
pub struct Fleet {
    /// What the fronts are told.
    pub settings: Settings,
    /// The layout that is foretold.
    pub layout: Layout,
    /// The one that holds.
    pub before: Layout,
    /// Demand at its peak over what all links give.
    pub busy: f64,
}

/// How large a fleet is.
pub struct Size {
    /// Servers.
    pub servers: u64,
    /// Titles.
    pub titles: u64,
    /// Fronts.
    pub fronts: usize,
    /// Halls.
    pub halls: usize,
    /// Racks.
    pub racks: usize,
    /// Cells.
    pub cells: u64,
}

/// A factor of one, more or less.
pub fn uneven(rng: &mut ChaCha8Rng, by: f64) -> f64 {
    1.0 + by * (rng.random::<f64>() * 2.0 - 1.0)
}

/// A draw of the standard normal distribution.
pub fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let (u, v) = (1.0 - rng.random::<f64>(), rng.random::<f64>());
    (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
}

impl Fleet {
    /// One of 12 to 30 servers.
    pub fn draw(seed: u64) -> Fleet {
        let mut rng = stream(seed, "foretold-size");
        let size = Size {
            servers: rng.random_range(12..=30),
            titles: rng.random_range(60..=150),
            fronts: rng.random_range(8..=24),
            halls: rng.random_range(2..=3),
            racks: rng.random_range(4..=8),
            cells: rng.random_range(8..=12),
        };
        Fleet::sized(seed, &size)
    }

    /// One of that size.
    pub fn sized(seed: u64, n: &Size) -> Fleet {
        let mut rng = stream(seed, "foretold-fleet");
        let mut settings = settings(n);
        let links = n.servers as f64 * settings.link_unit_kb_per_s;
        // Uplinks from three quarters of their links' width to one and a half.
        settings.rack_uplink_kb_per_s = links / n.racks as f64 * (0.75 + 0.75 * rng.random::<f64>());
        if rng.random::<f64>() < 0.5 {
            settings.join_cost_fraction = 0.6;
        }
        let server = |i: u64, rng: &mut ChaCha8Rng| {
            let cell = i % n.cells;
            let rack = cell as usize % n.racks;
            let kind = usize::from(rng.random::<f64>() < 0.3);
            LaidServer { server: i + 1, hall: rack % n.halls, rack, cell, kind, weight: uneven(rng, 0.4) }
        };
        let servers: Vec<_> = (0..n.servers).map(|i| server(i, &mut rng)).collect();
        let uplinks = (0..n.racks).map(|_| settings.rack_uplink_kb_per_s * uneven(&mut rng, 0.15)).collect();
        let title = |t: u64, rng: &mut ChaCha8Rng| {
            let cells = if t < 6 { rng.random_range(3..=5) } else { rng.random_range(2..=3) };
            LaidTitle { title: t + 1, first_cell: rng.random_range(0..n.cells), cells }
        };
        let titles = (0..n.titles).map(|t| title(t, &mut rng)).collect();
        let own = 0.6 + 0.35 * rng.random::<f64>();
        let row = |hall: usize| {
            let other = (1.0 - own) / (n.halls - 1).max(1) as f64;
            (0..n.halls).map(|h| (h, if h == hall { own } else { other })).collect()
        };
        let layout = Layout {
            generation: 2,
            servers,
            uplinks_kb: uplinks,
            titles,
            fronts: (0..n.fronts).map(|i| i % n.halls).collect(),
            serves: (0..n.halls).map(row).collect(),
        };
        // Before, some titles lay elsewhere and one server in ten had another weight.
        let mut before = Layout { generation: 1, ..layout.clone() };
        for t in before.titles.iter_mut().step_by(7) {
            t.first_cell = (t.first_cell + 1) % n.cells;
        }
        before.servers.iter_mut().step_by(10).for_each(|s| s.weight *= 0.9);
        let busy = 0.3 + 1.0 * rng.random::<f64>();
        Fleet { settings, layout, before, busy }
    }
}

fn settings(n: &Size) -> Settings {
    let class = |worth: f64, live: bool| Class {
        target_setup_time: Duration::from_secs(2),
        worth,
        rate_scale: 1.0,
        min_rung: usize::from(live),
        max_rung: 2,
        live,
        at_most_once: live,
        max_sessions_per_title: 0,
    };
    let rung = |rate, worth| Rung { rate_kb_per_s: rate, worth };
    Settings {
        front_count: n.fronts,
        classes: vec![class(1.0, false), class(3.0, true)],
        ladder: vec![rung(300.0, 0.4), rung(700.0, 0.75), rung(1_500.0, 1.0)],
        max_streams_by_kind: vec![60.0, 80.0],
        link_unit_kb_per_s: 40_000.0,
        sized_by_weight: true,
        cell_count: n.cells,
        rack_count: n.racks as u64,
        join_cost_fraction: 1.0,
        report_delay: Duration::from_secs(1),
        report_interval: Duration::from_secs(5),
        limits: Limits { max_attempts: 3, max_retry_after: Duration::from_secs(5) },
        rules: Rules {
            warm_up: Duration::from_secs(60),
            cold_capacity_fraction: 0.3,
            overload_multiple: 4.0,
            overload_window: Duration::from_secs(10),
            ..Rules::default()
        },
        ..Settings::default()
    }
}
