//! Classes, tenants and rungs.

use super::MINUTE;
use crate::ranged::{Ms, Name, Num, Real};
use serde::Deserialize;
use serde_saphyr::Spanned;

/// A class of sessions.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name, as the path has it.
    pub name: Name,
    /// A set-up is wanted playing within this time; 1 ms to a minute.
    pub aim_ms: Ms<1, MINUTE>,
    /// The viewer gives up after this time; 1 ms to a minute.
    pub deadline_ms: Ms<1, MINUTE>,
    /// Paid at set-up: may be set up once only. Default false.
    #[serde(default)]
    pub paid: bool,
    /// Worth of one second at a rung of worth 1; 0 to 1,000. Default 1.
    #[serde(default = "one")]
    pub worth: Real<0, 1_000_000>,
    /// Its rates over those of the ladder; 0.01 to 100. Default 1.
    #[serde(default = "unit")]
    pub scale: Real<10, 100_000>,
    /// The lowest rung it may play at, from 0. Default 0.
    #[serde(default)]
    pub floor: Option<Spanned<usize>>,
    /// The highest rung it may play at. Default the highest of the ladder.
    #[serde(default)]
    pub top: Option<Spanned<usize>>,
    /// Whether its titles are live. Default false.
    #[serde(default)]
    pub live: bool,
    /// Sessions of one title that this front may hold; 0: no cap; 0 to 1,000,000. Default 0.
    #[serde(default = "none")]
    pub seats: Num<0, 1_000_000>,
}

fn one() -> Real<0, 1_000_000> {
    Real::of(1.0)
}

fn unit() -> Real<10, 100_000> {
    Real::of(1.0)
}

fn none() -> Num<0, 1_000_000> {
    Num::of(0)
}

/// The classes.
#[derive(Clone, Debug, Deserialize)]
#[serde(transparent)]
pub struct Classes(pub Vec<Class>);

impl Default for Classes {
    fn default() -> Self {
        Classes(vec![Class {
            name: Name::of("video"),
            aim_ms: Ms::of(1_000),
            deadline_ms: Ms::of(3_000),
            paid: false,
            worth: one(),
            scale: unit(),
            floor: None,
            top: None,
            live: false,
            seats: none(),
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
    #[serde(default = "no_quota")]
    pub quota: Real<0, 1_000_000_000>,
}

fn no_quota() -> Real<0, 1_000_000_000> {
    Real::of(0.0)
}

/// One rung of the ladder.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rung {
    /// Its rate, kB a second; 0.001 to 1,000,000.
    pub rate_kb: Real<1, 1_000_000_000>,
    /// What it earns, the top being 1; 0 to 1.
    pub worth: Real<0, 1_000>,
}

/// The ladder.
#[derive(Clone, Debug, Deserialize)]
#[serde(transparent)]
pub struct Ladder(pub Vec<Rung>);

impl Default for Ladder {
    fn default() -> Self {
        let rung = |rate, worth| Rung { rate_kb: Real::of(rate), worth: Real::of(worth) };
        Ladder(vec![rung(200.0, 0.25), rung(500.0, 0.55), rung(1000.0, 0.8), rung(2000.0, 1.0)])
    }
}
