//! The operators' page.

use super::Fleet;
use std::time::Duration;

impl Fleet {
    /// What operators see.
    pub(crate) fn page(&self) -> serde_json::Value {
        let now = self.clock.now();
        let ago = |t: Duration| now.saturating_sub(t).as_millis() as u64;
        let m = self.member();
        let (me, view, status, part) = (m.local_id(), m.view(), m.stats(), m.fleet_size());
        let seen = view.members.values().map(|s| {
            serde_json::json!({
                "name": &*s.id.name, "hall": &*s.id.zone, "address": s.id.address, "side": s.id.side_address,
                "life": s.id.incarnation.to_string(), "sure": s.state, "since_ms": ago(s.since),
                "heard_ms": s.last_received.map(ago), "why": s.reason,
            })
        });
        let refused = status.rejected.iter().map(|(why, n)| (why.to_string(), (*n).into()));
        serde_json::json!({
            "me": {"name": &*me.name, "hall": &*me.zone, "address": me.address, "life": me.incarnation.to_string()},
            "view": {"number": view.version, "at_least": view.alive_count(), "at_most": view.alive_or_suspect_count()},
            "count": {
                "asked_for": self.counts,
                "in_force": part.and_then(|p| p.valid_at(now)),
                "fronts": part.map(|p| p.count),
                "from_ms": part.map(|p| p.valid_from.saturating_sub(now).as_millis() as u64),
                "for_ms": part.map(|p| p.valid_until.saturating_sub(now).as_millis() as u64),
            },
            "witness": m.witness().map(|w| w.holder_count()),
            "stepped_back": m.replaced_by().map(|w| w.address),
            "datagrams": {
                "taken": status.received, "sent": status.sent, "sent_bytes": status.sent_bytes,
                "refused": serde_json::Map::from_iter(refused),
            },
            "out": self.out().map(|o| o.page(now, view)),
            "members": seen.collect::<Vec<_>>(),
        })
    }
}
