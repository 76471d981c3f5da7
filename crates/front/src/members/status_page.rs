//! Operators' status page of the fleet.

use super::FleetMember;
use std::time::Duration;

impl FleetMember {
    /// Returns the status page.
    pub(crate) fn status_page(&self) -> serde_json::Value {
        let now = self.clock.now();
        let ms_since = |time: Duration| now.saturating_sub(time).as_millis() as u64;
        let member = self.member();
        let (me, view, stats, fleet_size) =
            (member.local_id(), member.view(), member.stats(), member.fleet_size());
        let members = view.members.values().map(|s| {
            serde_json::json!({
                "name": &*s.id.name, "hall": &*s.id.zone, "address": s.id.address, "side": s.id.side_address,
                "life": s.id.incarnation.to_string(), "sure": s.state, "since_ms": ms_since(s.since),
                "heard_ms": s.last_received.map(ms_since), "why": s.reason,
            })
        });
        let refused = stats.rejected.iter().map(|(reason, n)| (reason.to_string(), (*n).into()));
        serde_json::json!({
            "me": {"name": &*me.name, "hall": &*me.zone, "address": me.address, "life": me.incarnation.to_string()},
            "view": {"number": view.version, "at_least": view.alive_count(), "at_most": view.alive_or_suspect_count()},
            "count": {
                "asked_for": self.uses_witnesses,
                "in_force": fleet_size.and_then(|p| p.valid_at(now)),
                "fronts": fleet_size.map(|p| p.count),
                "from_ms": fleet_size.map(|p| p.valid_from.saturating_sub(now).as_millis() as u64),
                "for_ms": fleet_size.map(|p| p.valid_until.saturating_sub(now).as_millis() as u64),
            },
            "witness": member.witness().map(|w| w.holder_count()),
            "stepped_back": member.replaced_by().map(|w| w.address),
            "datagrams": {
                "taken": stats.received, "sent": stats.sent, "sent_bytes": stats.sent_bytes,
                "refused": serde_json::Map::from_iter(refused),
            },
            "out": self.permits().map(|permits| permits.status_page(now, view)),
            "members": members.collect::<Vec<_>>(),
        })
    }
}
