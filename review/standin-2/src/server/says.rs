//! What a video server says: answers, notes, releases.

use super::{Server, Session};
use std::io::Write;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Instant;

impl Server {
    /// Runs a set-up: after its work the session stands, unless it was given up.
    pub(super) fn run(&self, conn: u64, sid: &str) {
        std::thread::sleep(self.work);
        if self.vanished.load(SeqCst) || self.hangs.load(SeqCst) {
            return;
        }
        let connected = self.conns.lock().unwrap().contains_key(&conn);
        match self.sessions.lock().unwrap().get_mut(sid) {
            Some(s) if s.released_at.is_none() && connected => s.stands_since = Some(self.record.now()),
            _ => return,
        }
        let description = format!("v=0\\r\\ns={}-{sid}\\r\\n", self.name);
        let started = "{\"verb\":\"STARTED\",\"tag\":\"SID\",\"opts\":{},\"blob\":\"DESCRIPTION\"}";
        self.write(conn, &started.replace("SID", sid).replace("DESCRIPTION", &description));
    }

    /// A session comes to its end: its release goes on the connection of its set-up, failing that on any, and also on
    /// the next one that is opened.
    pub fn end(&self, sid: &str) -> f64 {
        let line = format!("{{\"verb\":\"FINISH\",\"tag\":\"{sid}\",\"opts\":{{}},\"rc\":16}}");
        let now = self.record.now();
        let conn = self.sessions.lock().unwrap().get_mut(sid).map(|s| {
            s.released_at = Some(now);
            s.conn
        });
        let open: Vec<u64> = self.conns.lock().unwrap().keys().copied().collect();
        let conn = conn.filter(|c| open.contains(c)).or(open.first().copied());
        self.record.line(&self.name, format!("session {sid} ends; written on connection {conn:?}"));
        if let Some(conn) = conn {
            self.write(conn, &line);
        }
        self.owed.lock().unwrap().push(line);
        now
    }

    pub(super) fn write(&self, conn: u64, line: &str) {
        let stream = self.conns.lock().unwrap().get(&conn).cloned();
        if let Some(stream) = stream.filter(|_| !self.vanished.load(SeqCst)) {
            let _ = (&*stream).write_all(format!("{line}\n").as_bytes());
            self.record.line(&self.name, format!("wrote on connection {conn} {line}"));
        }
    }

    /// Every `told_every` one session that stands gets the notes on the link and the rack's uplink.
    pub(super) fn tell_notes(&self) {
        let mut next = Instant::now() + self.told_every;
        loop {
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
            next += self.told_every;
            if self.vanished.load(SeqCst) {
                return;
            }
            let stands = |s: &&Session| s.stands_since.is_some() && s.released_at.is_none();
            let one = self
                .sessions
                .lock()
                .unwrap()
                .iter()
                .find(|(_, s)| stands(s))
                .map(|(i, s)| (i.clone(), s.conn));
            let Some((sid, conn)) = one else { continue };
            let open = self.conns.lock().unwrap().contains_key(&conn);
            let any = self.conns.lock().unwrap().keys().next().copied();
            let Some(conn) = open.then_some(conn).or(any) else { continue };
            for (note, value) in [("wire", *self.load.lock().unwrap()), ("trunk", 0.2)] {
                let line =
                    "{\"verb\":\"NOTICE\",\"tag\":\"SID\",\"opts\":{\"note\":\"NOTE\",\"value\":VALUE}}";
                let line = line.replace("SID", &sid).replace("NOTE", note);
                self.write(conn, &line.replace("VALUE", &value.to_string()));
            }
            *self.last_note_at.lock().unwrap() = self.record.now();
        }
    }
}
