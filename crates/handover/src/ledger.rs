//! Where a session's load is counted while it is handed on: at both, never at none.

use crate::side::Side;
use crate::{Live, Stage};
use std::collections::BTreeMap;

/// What a front's ledger counts for one session.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Counted<'a> {
    /// The session, as its player names it.
    pub sid: &'a str,
    /// Its seat: class and title.
    pub seat: (u16, u64),
    /// Its tenant.
    pub tenant: Option<u16>,
    /// Where it plays and at which rung.
    pub live: &'a Live,
    /// It is here for sure. Else it is counted for another, or another may count it too.
    pub sure: bool,
}

/// What is counted of it at this front: from when it holds it, until it has heard that another owns it.
///
/// A giver counts until `Owns`, a taker from `Held`: summed over fronts a session counts once or twice, and never not at
/// all while it is live at a front that lives.
pub fn counted(side: &Side) -> Option<Counted<'_>> {
    if let Some(giver) = side.giver().filter(|g| g.is_live()) {
        let c = giver.identity();
        let sure = !matches!(giver.stage(), Stage::Switched { .. } | Stage::GaveUp { .. });
        return Some(Counted {
            sid: &c.sid,
            seat: (c.class, c.title),
            tenant: c.tenant,
            live: &c.live,
            sure,
        });
    }
    let (c, _) = side.taker().held()?;
    Some(Counted { sid: &c.sid, seat: (c.class, c.title), tenant: c.tenant, live: &c.live, sure: false })
}

/// How many sessions a front counts at each server, by rung.
pub fn load<'a>(sides: impl IntoIterator<Item = &'a Side>) -> BTreeMap<(u64, u8), u32> {
    let mut load = BTreeMap::new();
    for live in sides.into_iter().filter_map(counted).map(|c| c.live) {
        if let Some(server) = live.server {
            *load.entry((server, live.rung)).or_insert(0) += 1;
        }
    }
    load
}
