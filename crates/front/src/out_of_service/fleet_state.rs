//! State of the fleet for judging permits, derived from the membership view.
//!
//! Sources of error and their duration:
//!
//! - A front that died counts as present until its suspicion time has passed, which takes some seconds. The
//!   limits on permits hold meanwhile.
//! - A front that starts after a crash is alive before it is ready: it counts as out of service until that
//!   incarnation reports that it accepts viewers. A front that was ready and no longer accepts viewers (no
//!   server) does not count as out of service.
//! - A front that left counts as out of service, by its permit or by the view, until it is back. The view
//!   does not show whether a missing front left for good or died: it counts as out of service for
//!   `out.forget_ms` and then not at all. A front that is partitioned for longer is forgotten, and one more
//!   front than the limit may then leave.
//! - A front that has just started knows nothing of earlier deaths: its view is uncertain until it has a
//!   member's full list. Where that member has just started too, both may not know of a dead front; the
//!   limits on permits still hold.
//! - A front that does not see a majority of the witnesses alive may be in the minority of a partition: its
//!   view is uncertain.

use cloverhollow_members::{MemberState, MembershipView};
use cloverhollow_out::{Availability, FleetView, MemberStatus, Place, Subject};
use cloverhollow_settings::title_id;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Returns the subject of a front, the same for all its incarnations: a hash of its name.
pub(super) fn front_subject(name: &str) -> Subject {
    Subject::Front(title_id(name))
}

/// Returns the place of a front in a zone, identified by a 32-bit hash of the zone's name.
pub(super) fn front_place(zone: &str) -> Place {
    let digest = title_id(zone);
    Place { zone: (digest ^ digest >> 32) as u32, rack: None, cell: None }
}

/// Formats a subject for logs and status pages.
pub(super) fn format_subject(subject: Subject) -> String {
    match subject {
        Subject::Front(n) => format!("{n:016x}"),
        Subject::Server(n) => format!("server {n}"),
    }
}

/// Returns true if a majority of the witnesses is alive.
pub(super) fn sees_witness_majority(view: &MembershipView, witnesses: &[SocketAddr]) -> bool {
    let is_live = |w: &&SocketAddr| view.members.get(w).is_some_and(|s| s.state == MemberState::Alive);
    witnesses.iter().filter(is_live).count() > witnesses.len() / 2
}

/// Returns true if this incarnation reported that it accepts viewers.
pub(super) fn is_ready(ready: &BTreeMap<SocketAddr, u64>, seen: &cloverhollow_members::KnownMember) -> bool {
    ready.get(&seen.id.address) == Some(&seen.id.incarnation.token)
}

/// Returns the state of the fleet, with the newest incarnation of each front.
pub(super) fn from_view(
    now: Duration,
    view: &MembershipView,
    ready: &BTreeMap<SocketAddr, u64>,
    forget_after: Duration,
    uncertain_for: Duration,
) -> FleetView {
    let mut newest = BTreeMap::new();
    for seen in view.members.values() {
        let entry = newest.entry(front_subject(&seen.id.name)).or_insert(seen);
        if entry.id.incarnation < seen.id.incarnation {
            *entry = seen;
        }
    }
    let is_remembered =
        |s: &&cloverhollow_members::KnownMember| s.state != MemberState::Down || now < s.since + forget_after;
    let remembered = newest.into_iter().filter(|(_, s)| is_remembered(s));
    let member_status = |s: &cloverhollow_members::KnownMember| MemberStatus {
        place: front_place(&s.id.zone),
        availability: match s.state {
            MemberState::Alive if !is_ready(ready, s) => Availability::OutOfService,
            state => Availability::from(state),
        },
        link_kbit_s: 0,
    };
    FleetView { members: remembered.map(|(subject, s)| (subject, member_status(s))).collect(), uncertain_for }
}
