//! Video servers: what is sent there, how attempts end, whose sessions are cut.

use super::*;

impl Desk {
    pub(super) fn send(&mut self, setup: Setup<SetupRequest>) {
        let Setup {
            attempt,
            server,
            address,
            sid,
            rung,
            paid,
            timeout: within,
            send_deadline: until,
            payload: ask,
            ..
        } = setup;
        let line = Line { description: Some(ask.description), ..Line::new(Verb::Start, &sid) }
            .with("class", ask.class)
            .with("key", ask.title)
            .with("left", within.as_millis())
            .with("rung", rung);
        let waits = self.waits(&sid);
        self.links.send(Outgoing { attempt, server, address, sid, paid, line: line.encode(), until, waits });
    }

    pub(super) fn ended(&mut self, ended: Ended, load: Load) {
        if let Some((attempt, end)) = ended {
            self.early.attempt_ended(attempt);
            self.inputs.push(Input::AttemptEnded { attempt, end, load });
        }
    }

    pub(super) fn down(&mut self, id: LinkId, down: LinkEndReason, owed: Vec<Line>) {
        let ended = self.links.down(id, down, owed);
        self.ended(ended, Load::default());
    }

    pub(super) fn recall(&mut self, attempt: AttemptId, why: CancelReason) {
        let ended = self.links.recall(attempt, why);
        self.ended(ended, Load::default());
    }

    /// A session that played in the core is over: its viewer is told, where it is owed that. Guards one that began to
    /// play in the instant in which its viewer went: it stands nowhere here, and its server would hold it for nobody.
    pub(super) fn over(&mut self, sid: &SessionId, server: ServerId) {
        if !self.standing.is_established_at(server, sid) {
            self.links.tell(server, Line::finish(sid, cause::CANCELLED));
        } else if let Some(release) = self.standing.end_session(sid) {
            self.release(release);
        }
    }

    pub(super) fn look(&mut self) {
        self.close_before_kill();
        let now = self.clock.now();
        if let Some(gossip) = &mut self.gossip {
            gossip.tell(now);
        }
        let (standing, core) = (&self.standing, &self.core);
        // Shortly before the kill what a server would say on a new connection is left to the next process.
        let wanted = |server| !self.closed_before_kill && standing.has_sessions_at(server);
        let cut = self.links.look(wanted, |server| core.server_list().address(server));
        cut.into_iter().for_each(|server| _ = self.cut(server, Duration::MAX));
        if self.directory.has_departed() {
            let (standing, links) = (&self.standing, &self.links);
            self.directory.forget_departed(|server| standing.has_sessions_at(server) || links.uses(server));
        }
    }

    /// Another process stands where a server's did, since that time: what stood there before is cut.
    pub(super) fn replaced(&mut self, server: ServerId, by: Duration) {
        let cut = self.cut(server, by);
        self.links.replaced(server, by, &cut);
    }

    /// The sessions that stood at a server before that time are cut: which.
    pub(super) fn cut(&mut self, server: ServerId, before: Duration) -> Vec<SessionId> {
        let cut = self.standing.established_before(server, before);
        self.links.cut(server);
        if !cut.is_empty() {
            tracing::info!(server, sessions = cut.len(), "a video server has cut its sessions");
        }
        for sid in &cut {
            tracing::info!(session = %sid, server, "cut at its server");
            self.standing.record_release(server, sid, cause::RESET);
            self.inputs.push(over(sid.clone(), EndReason::Lost, Load::default()));
        }
        cut
    }
}
