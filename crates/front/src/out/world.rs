//! The fleet as permits are judged by: made from the members' view.
//!
//! Who may be wrong, and for how long:
//!
//! - A front that died counts as there until the suspicion is over: some seconds. Nobody goes beyond the limits of the
//!   permits meanwhile.
//! - A front that starts after a death is there before it is ready: it counts as out until that life said that it takes
//!   viewers. One that was ready and takes none any more (no server) does not count: it is not out, but in need.
//! - A front that left counts as out, by its permit or by the view, until it is back. Whether one that is gone
//!   left for good or died, the view does not tell: it counts as out for `out.forget_ms` and then not at all. A
//!   front that is cut off for longer is thus forgotten, and one more may go than the limit says.
//! - A front that has just started knows nothing of who died before: its view is unsure until it has a member's whole
//!   list. Where that member has just started too, both may not know of the dead one; the permits hold all the same.
//! - A front that sees no majority of the witnesses as there is on the small side of a cut: its view is unsure.

use cloverhollow_members::{MemberState, MembershipView};
use cloverhollow_out::{Availability, FleetView, MemberStatus, Place, Subject};
use cloverhollow_settings::title_id;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A front, whichever of its lives.
pub(super) fn subject(name: &str) -> Subject {
    Subject::Front(title_id(name))
}

/// Where it stands.
pub(super) fn place(hall: &str) -> Place {
    let digest = title_id(hall);
    Place { zone: (digest ^ digest >> 32) as u32, rack: None, cell: None }
}

/// A subject as operators read it in log and page.
pub(super) fn digits(subject: Subject) -> String {
    match subject {
        Subject::Front(n) => format!("{n:016x}"),
        Subject::Server(n) => format!("server {n}"),
    }
}

/// Whether a majority of the witnesses is there.
pub(super) fn sees_witnesses(view: &MembershipView, witnesses: &[SocketAddr]) -> bool {
    let there = |w: &&SocketAddr| view.members.get(w).is_some_and(|s| s.state == MemberState::Alive);
    witnesses.iter().filter(there).count() > witnesses.len() / 2
}

/// Whether that very life said that it takes viewers.
pub(super) fn is_ready(ready: &BTreeMap<SocketAddr, u64>, seen: &cloverhollow_members::KnownMember) -> bool {
    ready.get(&seen.id.address) == Some(&seen.id.incarnation.token)
}

/// The fleet, each front by its youngest life.
pub(super) fn world(
    now: Duration,
    view: &MembershipView,
    ready: &BTreeMap<SocketAddr, u64>,
    forget: Duration,
    unsure_for: Duration,
) -> FleetView {
    let mut youngest = BTreeMap::new();
    for seen in view.members.values() {
        let of = youngest.entry(subject(&seen.id.name)).or_insert(seen);
        if of.id.incarnation < seen.id.incarnation {
            *of = seen;
        }
    }
    let counts =
        |s: &&cloverhollow_members::KnownMember| s.state != MemberState::Down || now < s.since + forget;
    let all = youngest.into_iter().filter(|(_, s)| counts(s));
    let known = |s: &cloverhollow_members::KnownMember| MemberStatus {
        place: place(&s.id.zone),
        availability: match s.state {
            MemberState::Alive if !is_ready(ready, s) => Availability::OutOfService,
            sure => Availability::from(sure),
        },
        link_kbit_s: 0,
    };
    FleetView { members: all.map(|(subject, s)| (subject, known(s))).collect(), uncertain_for: unsure_for }
}
