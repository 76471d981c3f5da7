//! Limits on the number of members out of service at once.

use crate::change::DenialReason;
use crate::types::{Place, Register, Subject};
use cloverhollow_members::MemberState;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of members of one kind that may be out of service at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MaxOutOfService {
    /// Maximum in the whole fleet.
    pub fleet: u16,
    /// Maximum in one zone.
    #[serde(rename = "hall")]
    pub zone: u16,
    /// Maximum in one rack.
    pub rack: u16,
}

/// Limits that a grant is checked against.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Limits {
    /// Limits for fronts.
    pub fronts: MaxOutOfService,
    /// Limits for video servers.
    pub servers: MaxOutOfService,
    /// Number of consecutive cells on which each title is stored; 0 if unknown, which disables the check.
    #[serde(rename = "copies")]
    pub cells_per_title: u32,
    /// Number of cells in the ring.
    #[serde(rename = "cells")]
    pub ring_cells: u32,
    /// Free capacity of each zone's link by the forecast, in kbit/s; a zone that is missing has none. `None`
    /// disables the check.
    #[serde(rename = "free")]
    pub free_link_kbit_s: Option<BTreeMap<u32, u64>>,
    /// Longest time in milliseconds for which the membership view may have been uncertain.
    #[serde(rename = "unsure_ms")]
    pub max_uncertain_ms: u32,
}

/// Availability of a member, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Availability {
    /// In service.
    #[serde(rename = "Serves")]
    Serving,
    /// Draining, stopped, starting or warming up.
    #[serde(rename = "Out")]
    OutOfService,
    /// Suspected to have failed.
    #[serde(rename = "Doubted")]
    Suspect,
    /// Considered failed.
    #[serde(rename = "Gone")]
    Dead,
}

impl From<MemberState> for Availability {
    fn from(state: MemberState) -> Availability {
        match state {
            MemberState::Alive => Availability::Serving,
            MemberState::Suspect => Availability::Suspect,
            MemberState::Down => Availability::Dead,
        }
    }
}

/// Status of a front or server in the membership view or the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MemberStatus {
    /// Location of the member.
    pub place: Place,
    /// Availability of the member.
    pub availability: Availability,
    /// Share of its zone's link that a server uses, in kbit/s; 0 for a front.
    pub link_kbit_s: u64,
}

/// Fleet as one front knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FleetView {
    /// Status of all fronts and servers.
    pub members: BTreeMap<Subject, MemberStatus>,
    /// Time since the view was last certain.
    pub uncertain_for: Duration,
}

/// Context in which a grant is checked.
#[derive(Clone, Copy, Debug)]
pub struct GrantContext<'a> {
    /// Fleet as the proposer knows it.
    pub fleet: &'a FleetView,
    /// Limits to check.
    pub limits: &'a Limits,
}

fn same_kind(a: Subject, b: Subject) -> bool {
    matches!((a, b), (Subject::Front(_), Subject::Front(_)) | (Subject::Server(_), Subject::Server(_)))
}

/// Checks whether one more member may go out of service. Every member that has a permit or is not serving,
/// for whatever reason, counts as out.
///
/// # Errors
/// The first limit that would be exceeded.
pub fn check_limits(
    register: &Register,
    fleet: &FleetView,
    limits: &Limits,
    subject: Subject,
    place: Place,
) -> Result<(), DenialReason> {
    if fleet.uncertain_for > Duration::from_millis(limits.max_uncertain_ms.into()) {
        return Err(DenialReason::UncertainView);
    }
    let by_permit = register.permits.iter().map(|p| (p.subject, p.place));
    let unavailable = fleet.members.iter().filter(|(_, m)| m.availability != Availability::Serving);
    let by_view = unavailable.map(|(s, m)| (*s, m.place));
    let out: BTreeMap<Subject, Place> =
        by_view.chain(by_permit).filter(|(s, _)| *s != subject && same_kind(*s, subject)).collect();
    let max = match subject {
        Subject::Front(_) => limits.fronts,
        Subject::Server(_) => limits.servers,
    };
    let count = |is_included: &dyn Fn(&Place) -> bool| out.values().filter(|p| is_included(p)).count();
    if out.len() >= max.fleet.into() {
        return Err(DenialReason::FleetLimit);
    }
    if count(&|p| p.zone == place.zone) >= max.zone.into() {
        return Err(DenialReason::ZoneLimit);
    }
    if place.rack.is_some() && count(&|p| p.zone == place.zone && p.rack == place.rack) >= max.rack.into() {
        return Err(DenialReason::RackLimit);
    }
    if let (Subject::Server(_), Some(free)) = (subject, &limits.free_link_kbit_s) {
        let link_kbit_s = |s: &Subject| fleet.members.get(s).map_or(0, |m| m.link_kbit_s);
        let out_kbit_s = out.iter().filter(|(_, p)| p.zone == place.zone).map(|(s, _)| link_kbit_s(s));
        let needed_kbit_s = out_kbit_s.fold(link_kbit_s(&subject), u64::saturating_add);
        if needed_kbit_s > free.get(&place.zone).copied().unwrap_or(0) {
            return Err(DenialReason::LinkCapacity);
        }
    }
    check_last_copy(fleet, limits, &out, subject, place)
}

/// Checks that each run of cells on which a title may be stored keeps another server in service.
fn check_last_copy(
    fleet: &FleetView,
    limits: &Limits,
    out: &BTreeMap<Subject, Place>,
    subject: Subject,
    place: Place,
) -> Result<(), DenialReason> {
    let (Subject::Server(_), Some(cell)) = (subject, place.cell) else { return Ok(()) };
    if limits.cells_per_title == 0 || limits.ring_cells == 0 {
        return Ok(());
    }
    let (cells, copies) = (limits.ring_cells, limits.cells_per_title.min(limits.ring_cells));
    let others = fleet.members.iter().filter(|(s, _)| **s != subject && !out.contains_key(s));
    let serving_cells: BTreeSet<u32> = others.filter_map(|(_, m)| m.place.cell).map(|c| c % cells).collect();
    // A run that contains the cell begins at it or at one of the `copies - 1` cells before it. One of these
    // runs has no other server in service if and only if at least `copies` cells lie between the nearest
    // serving cells before and after this one.
    let cell = cell % cells;
    let behind = serving_cells.iter().map(|c| (cell + cells - c) % cells).min();
    let ahead = serving_cells.iter().map(|c| (c + cells - cell) % cells).min();
    match (behind, ahead) {
        (Some(0), _) => Ok(()),
        (Some(behind), Some(ahead)) if behind + ahead - 1 < copies => Ok(()),
        _ => Err(DenialReason::LastCopy),
    }
}
