//! Who may go out, given who is out already.

use crate::change::Denied;
use crate::types::{Place, Register, Subject};
use cloverhollow_members::Sure;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How many of one kind may be out at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Most {
    /// Of the fleet.
    pub fleet: u16,
    /// Of a hall.
    pub hall: u16,
    /// Of a rack.
    pub rack: u16,
}

/// All limits.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Limits {
    /// Of fronts.
    pub fronts: Most,
    /// Of video servers.
    pub servers: Most,
    /// A title lies on so many cells in a row; 0: it is not known on which.
    pub copies: u32,
    /// Cells in all, in a ring.
    pub cells: u32,
    /// What the forecast leaves free of each hall's link, kbit/s; a hall that is not there has nothing free.
    /// `None`: links are not looked at.
    pub free: Option<BTreeMap<u32, u64>>,
    /// The view must have been sure within so long, ms.
    pub unsure_ms: u32,
}

/// Whether somebody serves, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// It does.
    Serves,
    /// It drains, is stopped, starts or warms.
    Out,
    /// Nobody knows.
    Doubted,
    /// It is taken for dead.
    Gone,
}

impl From<Sure> for Standing {
    fn from(sure: Sure) -> Standing {
        match sure {
            Sure::There => Standing::Serves,
            Sure::Doubted => Standing::Doubted,
            Sure::Gone => Standing::Gone,
        }
    }
}

/// One front or server, as the view or the list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Known {
    /// Where.
    pub place: Place,
    /// Whether it serves.
    pub standing: Standing,
    /// A server's part of its hall's link, kbit/s.
    pub link: u64,
}

/// What an asker knows of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct World {
    /// All fronts and servers.
    pub known: BTreeMap<Subject, Known>,
    /// How long ago the view was last sure.
    pub unsure_for: Duration,
}

/// What a change is judged by.
#[derive(Clone, Copy, Debug)]
pub struct Seen<'a> {
    /// The fleet.
    pub world: &'a World,
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
pub fn may_go(
    register: &Register,
    world: &World,
    limits: &Limits,
    subject: Subject,
    place: Place,
) -> Result<(), Denied> {
    if world.unsure_for > Duration::from_millis(limits.unsure_ms.into()) {
        return Err(Denied::View);
    }
    let by_permit = register.permits.iter().map(|p| (p.subject, p.place));
    let away = world.known.iter().filter(|(_, k)| k.standing != Standing::Serves);
    let by_world = away.map(|(s, k)| (*s, k.place));
    let out: BTreeMap<Subject, Place> =
        by_world.chain(by_permit).filter(|(s, _)| *s != subject && same_kind(*s, subject)).collect();
    let most = match subject {
        Subject::Front(_) => limits.fronts,
        Subject::Server(_) => limits.servers,
    };
    let of = |same: &dyn Fn(&Place) -> bool| out.values().filter(|p| same(p)).count();
    if out.len() >= most.fleet.into() {
        return Err(Denied::Fleet);
    }
    if of(&|p| p.hall == place.hall) >= most.hall.into() {
        return Err(Denied::Hall);
    }
    if place.rack.is_some() && of(&|p| p.hall == place.hall && p.rack == place.rack) >= most.rack.into() {
        return Err(Denied::Rack);
    }
    if let (Subject::Server(_), Some(free)) = (subject, &limits.free) {
        let link = |s: &Subject| world.known.get(s).map_or(0, |k| k.link);
        let gone = out.iter().filter(|(_, p)| p.hall == place.hall).map(|(s, _)| link(s));
        let all = gone.fold(link(&subject), u64::saturating_add);
        if all > free.get(&place.hall).copied().unwrap_or(0) {
            return Err(Denied::Link);
        }
    }
    last_holder(world, limits, &out, subject, place)
}

/// Each run of cells that a title may lie on needs another server that serves.
fn last_holder(
    world: &World,
    limits: &Limits,
    out: &BTreeMap<Subject, Place>,
    subject: Subject,
    place: Place,
) -> Result<(), Denied> {
    let (Subject::Server(_), Some(cell)) = (subject, place.cell) else { return Ok(()) };
    if limits.copies == 0 || limits.cells == 0 {
        return Ok(());
    }
    let (cells, copies) = (limits.cells, limits.copies.min(limits.cells));
    let others = world.known.iter().filter(|(s, _)| **s != subject && !out.contains_key(s));
    let serve: BTreeSet<u32> = others.filter_map(|(_, k)| k.place.cell).map(|c| c % cells).collect();
    // A run that holds the cell begins at it or less than `copies` before; only cells that serve are looked
    // at, so a run without any is a gap of `copies` between two of them, this cell in it.
    let cell = cell % cells;
    let behind = serve.iter().map(|c| (cell + cells - c) % cells).min();
    let ahead = serve.iter().map(|c| (c + cells - cell) % cells).min();
    match (behind, ahead) {
        (Some(0), _) => Ok(()),
        (Some(behind), Some(ahead)) if behind + ahead - 1 < copies => Ok(()),
        _ => Err(Denied::Copies),
    }
}
