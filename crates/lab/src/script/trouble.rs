//! Kinds of trouble, and whom they befall when.

use super::Script;
use crate::wires::{Effect, End, Side};
use cloverhollow_settings::{Decimal, Millis, Name, SettingsError};
use serde::Deserialize;
use std::time::Duration;

/// Kinds of trouble, most by the names that the bench's days use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Set-ups take longer and longer, up to `size` times, until the end.
    Ageing,
    /// Fronts are killed and come back after the time, with their last list.
    BalancerCrash,
    /// Fronts are killed the instant that they are in the state `when`, once each within the time, and come back
    /// `size` seconds later.
    BalancerCrashWhen,
    /// Fronts are killed every `size` seconds for the time, and started again at once.
    BalancerLoop,
    /// All fronts are restarted one after the other over the time.
    BalancerRoll,
    /// Fronts stand still for the time.
    BalancerStall,
    /// Fronts are restarted as planned, one after the other over the time: told to stop, and killed at the platform's
    /// earliest. On the platform only.
    BalancerTerm,
    /// Fronts get `size` new configurations over the time, each with another address of discovery. On the platform only.
    BalancerHup,
    /// Servers die at once and come back cold after the time.
    Crash,
    /// Discovery is out of reach for the time.
    DiscoveryDown,
    /// Discovery says nothing for the time: its streams stay open, and calls are not answered. On the platform only.
    DiscoverySilent,
    /// Discovery begins its answers `size` seconds late. On the platform only.
    DiscoverySlow,
    /// Servers fail the part `size` of set-ups that they ran.
    FastErrors,
    /// Servers stand still for the time.
    Hang,
    /// Another program takes the part `size` of the link.
    Neighbour,
    /// Racks' uplinks give 1 / `size` of the usual.
    OriginSlow,
    /// Load is told `size` seconds late.
    ReportLate,
    /// Links give 1 / `size` of the usual.
    Slow,
    /// A tenant sends `size` times its usual traffic.
    TenantBurst,
    /// Servers go silent and come back cold after the time.
    Vanish,
    /// Servers drain for the time and serve again.
    Drain,
    /// Servers drain, are gone half way, and come back cold at the end.
    Release,
    /// Servers reset the part `size` of set-ups after they ran.
    ResetSetups,
    /// Servers answer set-ups `size` seconds late.
    LateAnswers,
    /// Servers drain, leave the list half way, and are listed again at the end. Their processes live on.
    ListLeave,
    /// The part `size` of answers comes spoilt: noise, cut, twice, or with another one ahead. On the platform only.
    SpoiltAnswers,
    /// Servers write their lines in pieces, `size` seconds between two. On the platform only.
    Pieces,
    /// Servers close the connection behind the part `size` of answers and releases. On the platform only.
    CloseEarly,
    /// Servers read nothing of a new connection for `size` seconds. On the platform only.
    LateConnections,
    /// Clients send what can't be used, `size` of them a second. On the platform only.
    BadClients,
    /// The next `size` patches of the list are left out: a gap.
    ListGap,
    /// Fronts are cut off from everybody but each other: nothing arrives, either way; bytes of connections are held
    /// back and set free at the end.
    WireCut,
    /// The same, and what is sent to them still arrives.
    WireCutOut,
    /// The same, and what they send still arrives.
    WireCutIn,
    /// New connections of and to fronts are refused, their datagrams lost.
    WireRefuse,
    /// The part `size` of datagrams of and to fronts is lost.
    WireLoss,
    /// What passes of and to fronts comes `size` seconds later, datagrams out of order.
    WireDelay,
    /// The part `size` of datagrams of and to fronts comes twice.
    WireDouble,
    /// Each datagram of and to fronts comes `size` times more, later.
    WireAgain,
    /// Connections of and to fronts are reset as soon as bytes pass.
    WireReset,
    /// Connections of and to fronts carry `size` kB a second, each.
    WireTrickle,
    /// All connections of one front with one other process carry `size` kB a second together, each way.
    WireBound,
}

impl Kind {
    /// What befalls wires, by its size; `None`: the trouble is another one.
    pub fn wire(self, size: f64) -> Option<(Effect, Side)> {
        let delay = || Duration::from_secs_f64(size.clamp(0.0, 3_600.0));
        Some(match self {
            Kind::WireCut => (Effect::Silent, Side::Both),
            Kind::WireCutOut => (Effect::Silent, Side::Out),
            Kind::WireCutIn => (Effect::Silent, Side::In),
            Kind::WireRefuse => (Effect::Refused, Side::Both),
            Kind::WireLoss => (Effect::Loss(size), Side::Both),
            Kind::WireDelay => (Effect::Delay(delay()), Side::Both),
            Kind::WireDouble => (Effect::Double(size), Side::Both),
            Kind::WireAgain => (Effect::Again(size as u32), Side::Both),
            Kind::WireReset => (Effect::Reset, Side::Both),
            Kind::WireBound => (Effect::Bound((size * 1e3) as u64), Side::Both),
            Kind::WireTrickle => (Effect::Trickle((size * 1e3) as u64), Side::Both),
            _ => return None,
        })
    }
}

/// One trouble.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// What it is.
    pub kind: Kind,
    /// When it begins.
    pub at_ms: Millis<0, 3_600_000>,
    /// How long it lasts.
    #[serde(default = "zero")]
    pub for_ms: Millis<0, 3_600_000>,
    /// The part of servers, fronts or racks that it befalls, at least one; 0 to 1.
    #[serde(default = "whole")]
    pub share: Decimal<0, 1_000>,
    /// How much, as the kind says; 0 to 1,000.
    #[serde(default = "whole_size")]
    pub size: Decimal<0, 1_000_000>,
    /// Whose burst it is.
    pub tenant: Option<Name>,
    /// In which state fronts are killed.
    pub when: Option<When>,
    /// Which hall a trouble of wires befalls, in place of a share of the fronts: its servers and the fronts that stand
    /// there, in turn. What passes within it goes on where it is cut off.
    pub hall: Option<Name>,
    /// Which wires of fronts it befalls. Default those to other fronts.
    #[serde(default = "to_fronts")]
    pub to: Vec<End>,
}

/// States of a front, as the servers see them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum When {
    /// An attempt is out.
    AttemptOut,
    /// A paid set-up runs and is not answered.
    PaidOut,
    /// A further attempt has just arrived: the ration is used, or about to be.
    Further,
}

fn to_fronts() -> Vec<End> {
    vec![End::Fronts]
}

fn zero() -> Millis<0, 3_600_000> {
    Millis::default()
}

fn whole() -> Decimal<0, 1_000> {
    Decimal::one()
}

fn whole_size() -> Decimal<0, 1_000_000> {
    Decimal::one()
}

impl Trouble {
    /// Whether it can befall that script's day.
    pub(super) fn check(&self, script: &Script, field: &str, file: &str) -> Result<(), SettingsError> {
        let fault = |field: &str, description: String| {
            Err(SettingsError::Field { file: file.into(), line: 0, field: field.into(), description })
        };
        if self.kind == Kind::TenantBurst && self.tenant.is_none() {
            return fault(field, "tenant_burst names its tenant".into());
        }
        if (self.kind == Kind::BalancerCrashWhen) != self.when.is_some() {
            return fault(field, "balancer_crash_when, and it alone, names `when`".into());
        }
        if self.kind == Kind::BalancerLoop && self.size.get() < 0.1 {
            return fault(field, "size is 0.1 s or more here".into());
        }
        let divides = matches!(self.kind, Kind::OriginSlow | Kind::Slow | Kind::Ageing);
        if divides && self.size.get() < 1.0 {
            return fault(field, "size is 1 or more here".into());
        }
        if self.kind.wire(1.0).is_some() && !script.wires && !script.members {
            return fault(field, "troubles of wires want `wires: true`".into());
        }
        if let Some(hall) = &self.hall {
            if self.kind.wire(1.0).is_none() {
                return fault(field, "only troubles of wires befall a `hall`".into());
            }
            if !script.fleet.halls.contains(hall) {
                return fault(field, format!("`{}` is no hall of fleet.halls", hall.as_str()));
            }
        }
        let part = matches!(
            self.kind,
            Kind::Neighbour
                | Kind::FastErrors
                | Kind::ResetSetups
                | Kind::SpoiltAnswers
                | Kind::CloseEarly
                | Kind::WireLoss
                | Kind::WireDouble
        );
        if part && self.size.get() > 1.0 {
            return fault(field, "size is a part here, 0 to 1".into());
        }
        Ok(())
    }
}
