//! Execution of the session core's commands.

use super::*;

impl EventLoop {
    pub(super) fn execute(&mut self, command: Command<SetupRequest, String>) {
        match command {
            Command::Send(setup) => self.send_setup(setup),
            Command::Cancel { attempt, reason } => self.cancel_setup(attempt, reason),
            Command::Answer { viewer, answer } => self.answer_setup(viewer, answer),
            Command::Release { server, sid, .. } => {
                if self.registry.may_be_held_by_server(&sid) {
                    self.links.send_line(server, Line::finish(&sid, cause::CANCELLED));
                }
            }
            Command::SessionEnded { sid, server, .. } => self.session_ended(&sid, server),
            Command::RungChanged { server, sid, rung } => {
                let line = Line::new(Verb::Rate, &sid).with("rung", rung);
                self.links.send_line(server, line);
            }
            // This process persists nothing and requests no knowledge from peers.
            Command::Persist(_) | Command::KnowledgeMerged { .. } => {}
        }
    }
    /// Writes the final response to a set-up.
    fn answer_setup(&mut self, viewer: ViewerId, answer: Answer<String>) {
        let now = self.clock.now();
        let established = match &answer {
            Answer::Stream { route, .. } => {
                self.close_if_closed_by_viewer(&route.sid);
                Some((route.server, now))
            }
            _ => None,
        };
        let Some((conn, sid)) = self.registry.complete_setup(viewer, established) else {
            // The viewer has just left, so nobody uses the session that the server has started.
            if let Answer::Stream { route, .. } = answer {
                self.end_unused_session(route.sid.clone());
            }
            return;
        };
        if let Some((server, _)) = established {
            self.links.session_established(server);
        }
        tracing::info!(session = %sid, conn = conn.0, answer = answer.token(), "set-up answered");
        let response = viewer::setup_response(&sid, &answer, |description| description.clone().into());
        self.write(conn, response);
        match answer {
            Answer::Stream { route, .. } => {
                self.send_waiting_releases(conn);
                self.apply_early_release(&route.sid, route.server, route.address);
            }
            // The set-up used the id of a session that still plays although its viewer has left. The new viewer
            // gets an error response, so nobody uses the session.
            Answer::Follow(route) => self.end_unused_session(route.sid.clone()),
            Answer::Refused { .. } | Answer::Failed { .. } => {}
        }
    }

    /// Ends a session whose viewer has left.
    fn end_unused_session(&mut self, sid: SessionId) {
        self.inputs.push(session_ended_input(sid, EndReason::Quit, Load::default()));
    }
}
