//! Operators' status page of the fleet.

use super::FleetMember;
use std::time::Duration;

impl FleetMember {
    /// Returns the status page.
    pub(crate) fn status_page(&self) -> serde_json::Value {
        let now = self.clock.now();
        let ms_since = |time: Duration| now.saturating_sub(time).as_millis() as u64;
        let member = self.member();
        let (me, view, status, part) = (member.me(), member.view(), member.status(), member.part());
        let members = view.members.values().map(|s| {
            serde_json::json!({
                "name": &*s.who.name, "hall": &*s.who.hall, "address": s.who.address, "side": s.who.side,
                "life": s.who.life.to_string(), "sure": s.sure, "since_ms": ms_since(s.since),
                "heard_ms": s.heard.map(ms_since), "why": s.why,
            })
        });
        let refused = status.refused.iter().map(|(why, n)| (why.to_string(), (*n).into()));
        serde_json::json!({
            "me": {"name": &*me.name, "hall": &*me.hall, "address": me.address, "life": me.life.to_string()},
            "view": {"number": view.number, "at_least": view.at_least(), "at_most": view.at_most()},
            "count": {
                "asked_for": self.uses_witnesses,
                "in_force": part.and_then(|p| p.at(now)),
                "fronts": part.map(|p| p.count),
                "from_ms": part.map(|p| p.from.saturating_sub(now).as_millis() as u64),
                "for_ms": part.map(|p| p.until.saturating_sub(now).as_millis() as u64),
            },
            "witness": member.witness().map(|w| w.holders()),
            "stepped_back": member.stepped_back().map(|w| w.address),
            "datagrams": {
                "taken": status.taken, "sent": status.sent, "sent_bytes": status.sent_bytes,
                "refused": serde_json::Map::from_iter(refused),
            },
            "out": self.permits().map(|permits| permits.status_page(now, view)),
            "members": members.collect::<Vec<_>>(),
        })
    }
}
