//! Set-ups by the platform's lines, and how the sessions that stand come to their ends.

use super::permille;
use super::server::{OpenSetup, Standing};
use super::sides::{Say, Sides};
use super::spoilt;
use crate::exchange::Seen;
use crate::model::SetupVerdict;
use cloverhollow_platform::lines::{cause, Line, Verb};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

impl Standing {
    /// Whether the connection lives on.
    pub(super) async fn set_up_by_line(
        self: Arc<Self>,
        (front, conn, arrived): (usize, u64, Duration),
        line: Line,
        out: mpsc::Sender<Say>,
        sides: Arc<Sides>,
    ) -> bool {
        let sid: Arc<str> = line.sid.as_str().into();
        let finish = |cause| Say::Line(self.loaded(Line::finish(&sid, cause)));
        let Some((class, title)) = self.world.asked(&sid) else {
            let _ = out.send(finish(cause::ERROR)).await; // no viewer has sent it
            return true;
        };
        let rung = line.field("rung").and_then(|r| r.parse().ok()).unwrap_or(0);
        let kbps = self.world.kbps(class, rung);
        let rate = self.world.true_rate(&title, kbps);
        let verdict = self.world.fleet().set_up(self.world.log.now(), self.id, &sid, rate);
        let ran = !matches!(verdict, SetupVerdict::Full | SetupVerdict::Over);
        let server = self.id;
        self.world.log.put(Seen::SetupRead {
            server,
            front,
            sid: sid.clone(),
            class,
            title,
            kbps,
            ran,
            arrived,
        });
        let mut open = OpenSetup { log: self.world.log.clone(), server, sid: sid.clone(), status: None };
        if !ran {
            open.status = Some(503);
            let _ = out.send(finish(cause::FULL)).await;
            return true;
        }
        if verdict == SetupVerdict::Topples {
            self.topple();
            return false;
        }
        let draw = super::permille(&sid);
        if draw < self.faults.resets.load(Relaxed) {
            return false;
        }
        if draw < self.faults.errors.load(Relaxed) {
            open.status = Some(500);
            if let Some(server) = self.world.fleet().servers.get_mut(&self.id) {
                server.end(&sid);
            }
            let _ = out.send(finish(cause::ERROR)).await;
            return true;
        }
        sleep(self.takes()).await;
        self.runs().await;
        open.status = Some(200);
        drop(open);
        self.world.stands(&sid, self.id);
        sides.all().entry(front).or_default().standing.insert(sid.clone(), conn);
        let started = Line { description: line.description.clone(), ..Line::new(Verb::Started, &sid) };
        for say in
            spoilt::answer(started, permille(&format!("spoil {sid}")), self.faults.spoilt.load(Relaxed))
        {
            let _ = out.send(say).await;
        }
        if self.closes_early(&sid) {
            let _ = out.send(Say::Close).await;
        }
        // Some sessions come to their end here, the others by their viewers.
        let length = line.description.as_deref().and_then(|b| b.split("len=").nth(1)?.trim().parse().ok());
        let end = length.map_or(self.world.idle, Duration::from_millis);
        tokio::spawn(async move {
            sleep(end).await;
            // One that stands still ends nothing; one that never goes on has no sessions.
            self.runs().await;
            let stands = sides.all().get(&front).is_some_and(|s| s.standing.contains_key(&sid));
            if stands && self.let_go(&sid, front, &sides) {
                let release = self.loaded(Line::finish(&sid, cause::DONE));
                let open = !sides.all().entry(front).or_default().conns.is_empty();
                if !open {
                    self.unsent(&release);
                }
                sides.tell(front, conn, release, self.closes_early(&sid));
            }
        });
        true
    }
}
