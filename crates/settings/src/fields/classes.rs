//! Classes, tenants and the ladder of bit rates.

use super::MINUTE_MS;
use crate::ranged::{Decimal, Int, Millis, Name};
use serde::Deserialize;
use serde_saphyr::Spanned;

/// Class of sessions.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name in the request path.
    pub name: Name,
    /// Time within which a set-up should lead to playing; 1 ms to 1 minute.
    #[serde(rename = "aim_ms")]
    pub target_setup_ms: Millis<1, MINUTE_MS>,
    /// Time after which the viewer gives up; 1 ms to 1 minute.
    pub deadline_ms: Millis<1, MINUTE_MS>,
    /// True if a set-up is paid and may be executed only once. Default false.
    #[serde(rename = "paid", default)]
    pub at_most_once: bool,
    /// Worth of one second at a rung of worth 1; 0 to 1,000. Default 1.
    #[serde(default = "default_worth")]
    pub worth: Decimal<0, 1_000_000>,
    /// Factor between the class's bit rates and those of the ladder; 0.01 to 100. Default 1.
    #[serde(rename = "scale", default = "default_rate_scale")]
    pub rate_scale: Decimal<10, 100_000>,
    /// Lowest rung that the class may play at, from 0. Default 0.
    #[serde(rename = "floor", default)]
    pub min_rung: Option<Spanned<usize>>,
    /// Highest rung that the class may play at. Default: the highest of the ladder.
    #[serde(rename = "top", default)]
    pub max_rung: Option<Spanned<usize>>,
    /// True if the titles of the class are live streams. Default false.
    #[serde(default)]
    pub live: bool,
    /// Maximum number of sessions of one title at this front; 0 for no limit; 0 to 1,000,000. Default 0.
    #[serde(rename = "seats", default = "no_session_limit")]
    pub max_sessions_per_title: Int<0, 1_000_000>,
}

fn default_worth() -> Decimal<0, 1_000_000> {
    Decimal::new(1.0)
}

fn default_rate_scale() -> Decimal<10, 100_000> {
    Decimal::new(1.0)
}

fn no_session_limit() -> Int<0, 1_000_000> {
    Int::new(0)
}

/// Classes of sessions. Default: one class `video`.
#[derive(Clone, Debug, Deserialize)]
#[serde(transparent)]
pub struct Classes(pub Vec<Class>);

impl Default for Classes {
    fn default() -> Self {
        Classes(vec![Class {
            name: Name::new("video"),
            target_setup_ms: Millis::new(1_000),
            deadline_ms: Millis::new(3_000),
            at_most_once: false,
            worth: default_worth(),
            rate_scale: default_rate_scale(),
            min_rung: None,
            max_rung: None,
            live: false,
            max_sessions_per_title: no_session_limit(),
        }])
    }
}

/// Tenant with its quota.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name in the request path.
    pub name: Name,
    /// Sessions per second within the quota, over all fronts; 0 if unknown; 0 to 1,000,000. Default 0.
    #[serde(rename = "quota", default = "unknown_quota")]
    pub quota_per_s: Decimal<0, 1_000_000_000>,
}

fn unknown_quota() -> Decimal<0, 1_000_000_000> {
    Decimal::new(0.0)
}

/// One rung of the ladder.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rung {
    /// Bit rate in kB/s; 0.001 to 1,000,000.
    #[serde(rename = "rate_kb")]
    pub kb_per_s: Decimal<1, 1_000_000_000>,
    /// Worth of playing at the rung; 0 to 1, 1 for the highest.
    pub worth: Decimal<0, 1_000>,
}

/// Ladder of bit rates, lowest first. Default: 200, 500, 1,000 and 2,000 kB/s.
#[derive(Clone, Debug, Deserialize)]
#[serde(transparent)]
pub struct Ladder(pub Vec<Rung>);

impl Default for Ladder {
    fn default() -> Self {
        let rung = |rate, worth| Rung { kb_per_s: Decimal::new(rate), worth: Decimal::new(worth) };
        Ladder(vec![rung(200.0, 0.25), rung(500.0, 0.55), rung(1000.0, 0.8), rung(2000.0, 1.0)])
    }
}
