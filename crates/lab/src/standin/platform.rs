//! The platform round a front: its configuration, and the command channel as an event stream.

use super::channel::Stream;
use super::discovery::Discovery;
use super::patches::Patch;
use crate::exchange::Seen;
use crate::fronts::{MEMORY_MB, SOCKETS};
use crate::script::Script;
use bytes::Bytes;
use cloverhollow_http::{Framing, RequestFrame, RequestHead, ResponseFrame, ResponseHead};
use cloverhollow_net::ServerConn;
use cloverhollow_session::{ServerEntry, WireState};
use futures_util::{SinkExt, StreamExt};
use serde_json::{json, Value};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

/// Comments come so often.
const BEAT: Duration = Duration::from_secs(1);

/// The address at which a front reaches everything else, and by which everything else knows it.
pub(crate) fn front_host(host: Ipv4Addr, front: usize) -> Ipv4Addr {
    let [a, b, c, d] = host.octets();
    Ipv4Addr::new(a, b.wrapping_add(1 + front as u8), c, d)
}

/// The name of a server on the platform.
pub(crate) fn server_name(server: u64) -> String {
    format!("s-{server:08x}")
}

fn endpoint(e: &ServerEntry, started: Option<u64>, host: Ipv4Addr) -> Value {
    let status = match e.state {
        WireState::Serving => "in_service",
        WireState::Draining => "terminating",
        WireState::Gone => "terminated",
    };
    json!({"name": server_name(e.id), "address": format!("{host}:{}", e.address.port()), "zone": e.zone, "type": e.kind,
        "group": e.cell, "status": status, "weight": e.weight, "since_ms": started.unwrap_or(0)})
}

impl Discovery {
    fn unix(&self, p: &Patch, host: Ipv4Addr) -> Vec<Value> {
        let now = self.now();
        let unix = cloverhollow_net::unix_ms();
        let since = |t: Duration| unix.saturating_sub(now.saturating_sub(t).as_millis() as u64);
        p.servers.iter().map(|l| endpoint(&l.entry, l.started.map(since), host)).collect()
    }

    /// What a front that starts now is told of the list.
    pub(crate) fn known(&self, front: usize, host: Ipv4Addr) -> Value {
        let all = self.whole();
        let (stopped, serving) = all.states();
        self.channels.told_whole(front, all.version);
        self.put(Seen::ListTold { front, stopped, serving });
        self.put(Seen::ListAt { front, version: all.version });
        let nodes = json!({"index": all.version, "snapshot": true, "endpoints": self.unix(&all, host)});
        json!({"cursor": all.version, "cmds": [{"cursor": all.version, "nodes": nodes}]})
    }

    /// `GET /cmd/next`: all events after the last one that the front names.
    pub(super) async fn serve_channel(
        self: Arc<Self>,
        stream: Stream,
        mut conn: ServerConn,
        head: RequestHead,
    ) {
        let last = head.headers.get_str("last-event-id").and_then(|n| n.parse().ok()).unwrap_or(0);
        let Some(Ok(RequestFrame::End)) = conn.next().await else { return };
        let mut out = ResponseHead::new(200, 0);
        out.framing = Framing::Chunked;
        out.headers.push("content-type", "text/event-stream");
        if conn.send(ResponseFrame::Head(out)).await.is_err() {
            return;
        }
        let (mut patches, disturbed) = (self.subscribe(), self.disturbed());
        // One that has fallen silent stays so to its end.
        let says_nothing = || stream.is_replaced() || disturbed.borrow().silent;
        let mut silent = false;
        let mut version = last;
        for p in self.since(last) {
            version = p.version;
            if self.event(&mut conn, &stream, &p).await.is_none() {
                return;
            }
        }
        loop {
            tokio::select! {
                patch = patches.recv() => {
                    let Ok(p) = patch else { return };
                    silent |= says_nothing();
                    if p.version <= version || p.skipped || silent {
                        continue;
                    }
                    version = p.version;
                    if self.event(&mut conn, &stream, &p).await.is_none() {
                        return;
                    }
                }
                () = tokio::time::sleep(BEAT) => {
                    silent |= says_nothing();
                    let beat = ResponseFrame::Data(Bytes::from_static(b": beat\n\n"));
                    if !silent && conn.send(beat).await.is_err() {
                        return;
                    }
                }
                _ = conn.next() => return,
            }
        }
    }

    /// In two pieces, as a network may cut it.
    async fn event(&self, conn: &mut ServerConn, stream: &Stream, p: &Patch) -> Option<()> {
        let (front, host) = (stream.front, stream.host);
        let nodes = json!({"index": p.version, "snapshot": false, "endpoints": self.unix(p, host)});
        let event = json!({"cursor": p.version, "nodes": nodes});
        let text = format!("id: {}\ndata: {event}\n\n", p.version);
        let (a, b) = text.split_at(text.len() / 2);
        for piece in [a, b] {
            conn.send(ResponseFrame::Data(Bytes::copy_from_slice(piece.as_bytes()))).await.ok()?;
        }
        if self.channels.is_news(front, p.version) {
            let (stopped, serving) = p.states();
            self.put(Seen::ListTold { front, stopped, serving });
        }
        self.put(Seen::ListAt { front, version: p.version });
        Some(())
    }
}

/// A front's configuration.
pub(crate) fn config(
    script: &Script,
    front: usize,
    seed: u64,
    host: Ipv4Addr,
    channel: u16,
    known: Value,
) -> Value {
    let f = &script.front;
    let per_class = |of: &dyn Fn(&cloverhollow_settings::Class) -> Value| -> Vec<Value> {
        f.classes.0.iter().map(of).collect()
    };
    let top = f.ladder.0.len() - 1;
    let ms = |d: Duration| d.as_millis() as u64;
    let mut invariants = json!({"cold": ms(f.rules.warm_up_ms.get()), "cold-from": f.rules.cold_capacity_fraction.get(),
        "drain-grace": ms(f.rules.drain_grace_ms.get()), "fall": ms(f.rules.overload_window_ms.get()),
        "fall-multiple": f.rules.overload_multiple.get()});
    if let Some(r) = &f.rules.retry_budget {
        invariants["budget-free"] = r.base.get().into();
        invariants["extra-share"] = r.per_session.get().into();
        invariants["budget-span"] = ms(r.window_ms.get()).into();
    }
    let settings = json!({
        "balancers": script.fronts.get(), "discovery": "pushed", "index": front, "weights": "none",
        "domain": {
            "class-live": per_class(&|c| c.live.into()),
            "class-top": per_class(&|c| c.max_rung.as_ref().map_or(top, |t| t.value).into()),
            "floor-by-class": per_class(&|c| c.min_rung.as_ref().map_or(0, |f| f.value).into()),
            "scale-by-class": per_class(&|c| c.rate_scale.get().into()),
            "seats": per_class(&|c| c.max_sessions_per_title.get().into()),
            "join": f.fleet.join_cost_fraction.get(),
            "ladder-worth": f.ladder.0.iter().map(|r| r.worth.get()).collect::<Vec<_>>(),
            "level-kb": f.ladder.0.iter().map(|r| r.kb_per_s.get()).collect::<Vec<_>>(),
            "link-unit-kb": f.fleet.link_unit_kb_per_s.get(), "rack-link-kb": f.fleet.rack_uplink_kb_per_s.get(),
            "places": f.fleet.cell_count.get(), "shelves": f.fleet.rack_count.get(),
            "places-by-kind": f.fleet.kinds.iter().map(|k| k.max_streams.get()).collect::<Vec<_>>(),
            "told-every": ms(f.load_reports.interval_ms.get()), "told-late": ms(f.load_reports.delay_ms.get()),
        },
        "grades": per_class(&|c| json!({"name": c.name.as_str(), "aim": ms(c.target_setup_ms.get()),
            "deadline": ms(c.deadline_ms.get()), "effect": if c.at_most_once { "at_most_once" } else { "idempotent" },
            "importance": c.worth.get()})),
        "invariants": invariants,
        "kinds": f.fleet.kinds.iter().map(|k| k.name.as_str()).collect::<Vec<_>>(),
        "limits": {"connect-timeout": ms(f.servers.connect_timeout_ms.get()), "idle-close": 15_000,
            "max-retry-after": ms(f.limits.max_retry_after_ms.get()), "most-tries": f.limits.max_attempts.get(), "retry-after": true},
        "tenants": f.tenants.iter().map(|t| json!({"name": t.name.as_str(), "quota-per-s": t.quota_per_s.get()})).collect::<Vec<_>>(),
        "over-share-worth": f.limits.over_quota_worth.get(),
    });
    let own = front_host(host, front);
    json!({"name": format!("n{front}"), "listen": format!("{own}:0"), "seed": format!("{seed:x}"),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}, "channel": format!("{own}:{channel}"),
        "known": known, "settings": settings})
}
