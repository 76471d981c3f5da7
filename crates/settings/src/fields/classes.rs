//! Classes, tenants and rungs.

use super::MINUTE_MS;
use crate::ranged::{Decimal, Int, Millis, Name};
use serde::Deserialize;
use serde_saphyr::Spanned;

/// A class of sessions.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name, as the path has it.
    pub name: Name,
    /// A set-up is wanted playing within this time; 1 ms to a minute.
    #[serde(rename = "aim_ms")]
    pub target_setup_ms: Millis<1, MINUTE_MS>,
    /// The viewer gives up after this time; 1 ms to a minute.
    pub deadline_ms: Millis<1, MINUTE_MS>,
    /// Paid at set-up: may be set up once only. Default false.
    #[serde(rename = "paid", default)]
    pub at_most_once: bool,
    /// Worth of one second at a rung of worth 1; 0 to 1,000. Default 1.
    #[serde(default = "one")]
    pub worth: Decimal<0, 1_000_000>,
    /// Its rates over those of the ladder; 0.01 to 100. Default 1.
    #[serde(rename = "scale", default = "unit")]
    pub rate_scale: Decimal<10, 100_000>,
    /// The lowest rung it may play at, from 0. Default 0.
    #[serde(rename = "floor", default)]
    pub min_rung: Option<Spanned<usize>>,
    /// The highest rung it may play at. Default the highest of the ladder.
    #[serde(rename = "top", default)]
    pub max_rung: Option<Spanned<usize>>,
    /// Whether its titles are live. Default false.
    #[serde(default)]
    pub live: bool,
    /// Sessions of one title that this front may hold; 0: no cap; 0 to 1,000,000. Default 0.
    #[serde(rename = "seats", default = "none")]
    pub max_sessions_per_title: Int<0, 1_000_000>,
}

fn one() -> Decimal<0, 1_000_000> {
    Decimal::of(1.0)
}

fn unit() -> Decimal<10, 100_000> {
    Decimal::of(1.0)
}

fn none() -> Int<0, 1_000_000> {
    Int::of(0)
}

/// The classes.
#[derive(Clone, Debug, Deserialize)]
#[serde(transparent)]
pub struct Classes(pub Vec<Class>);

impl Default for Classes {
    fn default() -> Self {
        Classes(vec![Class {
            name: Name::of("video"),
            target_setup_ms: Millis::of(1_000),
            deadline_ms: Millis::of(3_000),
            at_most_once: false,
            worth: one(),
            rate_scale: unit(),
            min_rung: None,
            max_rung: None,
            live: false,
            max_sessions_per_title: none(),
        }])
    }
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name, as the path has it.
    pub name: Name,
    /// Sessions a second within its share, over all fronts; 0: not told; 0 to 1,000,000. Default 0.
    #[serde(rename = "quota", default = "no_quota")]
    pub quota_per_s: Decimal<0, 1_000_000_000>,
}

fn no_quota() -> Decimal<0, 1_000_000_000> {
    Decimal::of(0.0)
}

/// One rung of the ladder.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rung {
    /// Its rate, kB a second; 0.001 to 1,000,000.
    #[serde(rename = "rate_kb")]
    pub kb_per_s: Decimal<1, 1_000_000_000>,
    /// What it earns, the top being 1; 0 to 1.
    pub worth: Decimal<0, 1_000>,
}

/// The ladder.
#[derive(Clone, Debug, Deserialize)]
#[serde(transparent)]
pub struct Ladder(pub Vec<Rung>);

impl Default for Ladder {
    fn default() -> Self {
        let rung = |rate, worth| Rung { kb_per_s: Decimal::of(rate), worth: Decimal::of(worth) };
        Ladder(vec![rung(200.0, 0.25), rung(500.0, 0.55), rung(1000.0, 0.8), rung(2000.0, 1.0)])
    }
}
