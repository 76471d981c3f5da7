//! The operators' page.

use super::Fleet;
use std::time::Duration;

impl Fleet {
    /// What operators see.
    pub(crate) fn page(&self) -> serde_json::Value {
        let now = self.clock.now();
        let ago = |t: Duration| now.saturating_sub(t).as_millis() as u64;
        let m = self.member();
        let (me, view, status, part) = (m.me(), m.view(), m.status(), m.part());
        let seen = view.members.values().map(|s| {
            serde_json::json!({
                "name": &*s.who.name, "hall": &*s.who.hall, "address": s.who.address, "side": s.who.side,
                "life": s.who.life.to_string(), "sure": s.sure, "since_ms": ago(s.since),
                "heard_ms": s.heard.map(ago), "why": s.why,
            })
        });
        let refused = status.refused.iter().map(|(why, n)| (why.to_string(), (*n).into()));
        serde_json::json!({
            "me": {"name": &*me.name, "hall": &*me.hall, "address": me.address, "life": me.life.to_string()},
            "view": {"number": view.number, "at_least": view.at_least(), "at_most": view.at_most()},
            "count": {
                "asked_for": self.counts,
                "in_force": part.and_then(|p| p.at(now)),
                "fronts": part.map(|p| p.count),
                "from_ms": part.map(|p| p.from.saturating_sub(now).as_millis() as u64),
                "for_ms": part.map(|p| p.until.saturating_sub(now).as_millis() as u64),
            },
            "witness": m.witness().map(|w| w.holders()),
            "stepped_back": m.stepped_back().map(|w| w.address),
            "datagrams": {
                "taken": status.taken, "sent": status.sent, "sent_bytes": status.sent_bytes,
                "refused": serde_json::Map::from_iter(refused),
            },
            "out": self.out().map(|o| o.page(now, view)),
            "members": seen.collect::<Vec<_>>(),
        })
    }
}
