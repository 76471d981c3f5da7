//! Video servers: sending of set-ups, ends of attempts, and sessions that a server has lost.

use super::*;

impl EventLoop {
    pub(super) fn send_setup(&mut self, setup: Setup<SetupRequest>) {
        let Setup { attempt, server, address, sid, rung, paid, timeout, send_deadline, payload, .. } = setup;
        let line = Line { description: Some(payload.description), ..Line::new(Verb::Start, &sid) }
            .with("class", payload.class)
            .with("key", payload.title)
            .with("left", timeout.as_millis())
            .with("rung", rung);
        let waiter = self.setup_waiter(&sid);
        self.links.send_setup(OutgoingSetup {
            attempt,
            server,
            address,
            sid,
            at_most_once: paid,
            line: line.encode(),
            send_deadline,
            waiter,
        });
    }

    pub(super) fn attempt_ended(&mut self, ended: EndedSetup, load: Load) {
        if let Some((attempt, end)) = ended {
            self.early_releases.attempt_ended(attempt);
            self.inputs.push(Input::AttemptEnded { attempt, end, load });
        }
    }

    pub(super) fn link_down(&mut self, id: LinkId, reason: LinkEndReason, unread: Vec<Line>) {
        let ended = self.links.link_down(id, reason, unread);
        self.attempt_ended(ended, Load::default());
    }

    pub(super) fn cancel_setup(&mut self, attempt: AttemptId, reason: CancelReason) {
        let ended = self.links.cancel_setup(attempt, reason);
        self.attempt_ended(ended, Load::default());
    }

    /// Handles a session that has ended in the core: its viewer is notified if a release is still due. A
    /// session that is not established here began to play just as its viewer left; a release is sent to its
    /// server, which would otherwise keep a session that nobody uses.
    pub(super) fn session_ended(&mut self, sid: &SessionId, server: ServerId) {
        if !self.registry.is_established_at(server, sid) {
            self.links.send_line(server, Line::finish(sid, cause::CANCELLED));
        } else if let Some(release) = self.registry.end_session(self.clock.now(), sid) {
            self.send_release(release);
        }
    }

    pub(super) fn run_maintenance(&mut self) {
        self.close_idle_before_kill();
        self.offer_waiting_releases();
        let now = self.clock.now();
        if let Some(gossip) = &mut self.gossip {
            gossip.send_due(now);
        }
        let (registry, core) = (&self.registry, &self.core);
        // Shortly before a kill no connections are opened for sessions; the next incarnation opens them.
        let has_sessions = |server| !self.closed_before_kill && registry.has_sessions_at(server);
        let lost = self.links.run_maintenance(has_sessions, |server| core.server_list().address(server));
        lost.into_iter().for_each(|server| _ = self.end_sessions_at(server, Duration::MAX));
        if self.directory.has_departed() {
            let (registry, links) = (&self.registry, &self.links);
            self.directory.forget_departed(|server| registry.has_sessions_at(server) || links.uses(server));
        }
    }

    /// Handles the replacement of a server's process at `replaced_at`: the sessions of the previous process
    /// are lost. With [`Duration::MAX`] all sessions at the server and all connections to it are the
    /// previous one's.
    pub(super) fn process_replaced(&mut self, server: ServerId, replaced_at: Duration) {
        let lost: Vec<LostSession> = self
            .end_sessions_at(server, replaced_at)
            .into_iter()
            .map(|sid| LostSession { process: self.registry.process_of(&sid), sid })
            .collect();
        self.links.process_replaced(server, replaced_at, &lost);
    }

    /// Ends the sessions that were established at a server earlier than `before` and that the server has
    /// lost. Returns their ids. [`Duration::MAX`] ends all sessions at the server.
    pub(super) fn end_sessions_at(&mut self, server: ServerId, before: Duration) -> Vec<SessionId> {
        let lost = self.registry.established_before(server, before);
        self.links.drop_queued(server);
        if !lost.is_empty() {
            tracing::info!(server, sessions = lost.len(), "a video server has lost its sessions");
        }
        for sid in &lost {
            tracing::info!(session = %sid, server, "session lost at its server");
            self.registry.record_release(server, sid, cause::RESET);
            self.inputs.push(session_ended_input(sid.clone(), EndReason::Lost, Load::default()));
        }
        lost
    }
}
