//! Who may go out, given who is out already.

use crate::change::DenialReason;
use crate::types::{Place, Register, Subject};
use cloverhollow_members::MemberState;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How many of one kind may be out at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MaxOutOfService {
    /// Of the fleet.
    pub fleet: u16,
    /// Of a hall.
    #[serde(rename = "hall")]
    pub zone: u16,
    /// Of a rack.
    pub rack: u16,
}

/// All limits.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Limits {
    /// Of fronts.
    pub fronts: MaxOutOfService,
    /// Of video servers.
    pub servers: MaxOutOfService,
    /// A title lies on so many cells in a row; 0: it is not known on which.
    #[serde(rename = "copies")]
    pub cells_per_title: u32,
    /// Cells in all, in a ring.
    #[serde(rename = "cells")]
    pub ring_cells: u32,
    /// What the forecast leaves free of each hall's link, kbit/s; a hall that is not there has nothing free.
    /// `None`: links are not looked at.
    #[serde(rename = "free")]
    pub free_link_kbit_s: Option<BTreeMap<u32, u64>>,
    /// The view must have been sure within so long, ms.
    #[serde(rename = "unsure_ms")]
    pub max_uncertain_ms: u32,
}

/// Whether somebody serves, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Availability {
    /// It does.
    #[serde(rename = "Serves")]
    Serving,
    /// It drains, is stopped, starts or warms.
    #[serde(rename = "Out")]
    OutOfService,
    /// Nobody knows.
    #[serde(rename = "Doubted")]
    Suspect,
    /// It is taken for dead.
    #[serde(rename = "Gone")]
    Dead,
}

impl From<MemberState> for Availability {
    fn from(sure: MemberState) -> Availability {
        match sure {
            MemberState::Alive => Availability::Serving,
            MemberState::Suspect => Availability::Suspect,
            MemberState::Down => Availability::Dead,
        }
    }
}

/// One front or server, as the view or the list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MemberStatus {
    /// Where.
    pub place: Place,
    /// Whether it serves.
    pub availability: Availability,
    /// A server's part of its hall's link, kbit/s.
    pub link_kbit_s: u64,
}

/// What an asker knows of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FleetView {
    /// All fronts and servers.
    pub members: BTreeMap<Subject, MemberStatus>,
    /// How long ago the view was last sure.
    pub uncertain_for: Duration,
}

/// What a change is judged by.
#[derive(Clone, Copy, Debug)]
pub struct GrantContext<'a> {
    /// The fleet.
    pub fleet: &'a FleetView,
    /// The limits.
    pub limits: &'a Limits,
}

fn same_kind(a: Subject, b: Subject) -> bool {
    matches!((a, b), (Subject::Front(_), Subject::Front(_)) | (Subject::Server(_), Subject::Server(_)))
}

/// Whether this one may go out too. Who has a permit, and who does not serve for whatever reason, counts as
/// out.
///
/// # Errors
/// Why not.
pub fn check_limits(
    register: &Register,
    world: &FleetView,
    limits: &Limits,
    subject: Subject,
    place: Place,
) -> Result<(), DenialReason> {
    if world.uncertain_for > Duration::from_millis(limits.max_uncertain_ms.into()) {
        return Err(DenialReason::UncertainView);
    }
    let by_permit = register.permits.iter().map(|p| (p.subject, p.place));
    let away = world.members.iter().filter(|(_, k)| k.availability != Availability::Serving);
    let by_world = away.map(|(s, k)| (*s, k.place));
    let out: BTreeMap<Subject, Place> =
        by_world.chain(by_permit).filter(|(s, _)| *s != subject && same_kind(*s, subject)).collect();
    let most = match subject {
        Subject::Front(_) => limits.fronts,
        Subject::Server(_) => limits.servers,
    };
    let of = |same: &dyn Fn(&Place) -> bool| out.values().filter(|p| same(p)).count();
    if out.len() >= most.fleet.into() {
        return Err(DenialReason::FleetLimit);
    }
    if of(&|p| p.zone == place.zone) >= most.zone.into() {
        return Err(DenialReason::ZoneLimit);
    }
    if place.rack.is_some() && of(&|p| p.zone == place.zone && p.rack == place.rack) >= most.rack.into() {
        return Err(DenialReason::RackLimit);
    }
    if let (Subject::Server(_), Some(free)) = (subject, &limits.free_link_kbit_s) {
        let link = |s: &Subject| world.members.get(s).map_or(0, |k| k.link_kbit_s);
        let gone = out.iter().filter(|(_, p)| p.zone == place.zone).map(|(s, _)| link(s));
        let all = gone.fold(link(&subject), u64::saturating_add);
        if all > free.get(&place.zone).copied().unwrap_or(0) {
            return Err(DenialReason::LinkCapacity);
        }
    }
    last_holder(world, limits, &out, subject, place)
}

/// Each run of cells that a title may lie on needs another server that serves.
fn last_holder(
    world: &FleetView,
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
    let others = world.members.iter().filter(|(s, _)| **s != subject && !out.contains_key(s));
    let serve: BTreeSet<u32> = others.filter_map(|(_, k)| k.place.cell).map(|c| c % cells).collect();
    // A run that holds the cell begins at it or less than `copies` before; only cells that serve are looked
    // at, so a run without any is a gap of `copies` between two of them, this cell in it.
    let cell = cell % cells;
    let behind = serve.iter().map(|c| (cell + cells - c) % cells).min();
    let ahead = serve.iter().map(|c| (c + cells - cell) % cells).min();
    match (behind, ahead) {
        (Some(0), _) => Ok(()),
        (Some(behind), Some(ahead)) if behind + ahead - 1 < copies => Ok(()),
        _ => Err(DenialReason::LastCopy),
    }
}
