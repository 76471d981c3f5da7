//! What each front has at a server of the platform, and what it is told there: notes, releases.

use super::permille;
use super::server::Standing;
use bytes::Bytes;
use cloverhollow_platform::lines::{Line, Verb};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Time between notes of short delivery.
const NOTE: Duration = Duration::from_secs(1);

/// What is written on a connection.
#[derive(Clone, Debug)]
pub(super) enum Say {
    Line(Line),
    Bytes(Bytes),
    /// It is closed behind what was written.
    Close,
}

/// What one front has at one server: its connections, and the sessions that stand with the connection of each.
#[derive(Default)]
pub(super) struct Side {
    pub(super) next: u64,
    pub(super) conns: BTreeMap<u64, mpsc::Sender<Say>>,
    pub(super) standing: BTreeMap<Arc<str>, u64>,
    /// Releases that had no connection to go on.
    pub(super) owed: Vec<Line>,
}

/// All fronts' sides of one server's process.
#[derive(Default)]
pub(super) struct Sides(Mutex<BTreeMap<usize, Side>>);

impl Sides {
    pub(super) fn all(&self) -> MutexGuard<'_, BTreeMap<usize, Side>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A line about a session that stands: on its own connection, else on any. A release goes on the next connection that is
    /// opened, too. Whether it was written on one that is open.
    pub(super) fn tell(&self, front: usize, own: u64, line: Line, close_behind: bool) -> bool {
        let mut all = self.all();
        let side = all.entry(front).or_default();
        let any = || {
            let n = side.conns.len().max(1);
            side.conns.values().nth(permille(&line.sid) as usize % n)
        };
        let conn = side.conns.get(&own).or_else(any);
        let written = conn.is_some_and(|conn| conn.try_send(Say::Line(line.clone())).is_ok());
        if let Some(conn) = conn.filter(|_| close_behind) {
            let _ = conn.try_send(Say::Close);
        }
        if line.verb == Verb::Finish {
            side.owed.push(line);
        }
        written
    }
}

impl Standing {
    /// Notes on one session of each front: link and uplink now and then, short delivery while it lasts.
    pub(super) async fn notes(self: Arc<Self>, sides: Arc<Sides>) {
        let every = self.world.site.load_reports.interval_ms.get();
        let (mut next, mut short) = (Duration::ZERO, false);
        loop {
            sleep(NOTE).await;
            self.runs().await;
            let now = self.world.log.now();
            let (share, load) = {
                let fleet = self.world.fleet();
                (fleet.share(now, self.id), fleet.load(now, self.id))
            };
            let mut notes = Vec::new();
            if share < 0.98 || short {
                notes.push(("kept_up", share));
            }
            short = share < 0.98;
            if now >= next {
                next = now + every;
                notes.extend([("trunk", load.rack), ("wire", load.link)]);
            }
            let first: Vec<_> = {
                let all = sides.all();
                let first = |(front, side): (&usize, &Side)| {
                    side.standing.iter().next().map(|(sid, conn)| (*front, sid.clone(), *conn))
                };
                all.iter().filter_map(first).collect()
            };
            for (front, sid, conn) in first {
                for (name, value) in &notes {
                    let line =
                        Line::new(Verb::Notice, &sid).with("note", name).with("value", format!("{value:.3}"));
                    sides.tell(front, conn, line, false);
                }
            }
        }
    }
}
