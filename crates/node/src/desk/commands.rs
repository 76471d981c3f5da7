//! What the session core wants done.

use super::*;

impl Desk {
    pub(super) fn carry_out(&mut self, command: Command<SetupRequest, String>) {
        match command {
            Command::Send(setup) => self.send(setup),
            Command::Cancel { attempt, reason: why } => self.recall(attempt, why),
            Command::Answer { viewer, answer } => {
                let now = self.clock.now();
                let stands = match &answer {
                    Answer::Stream { route, .. } => Some((route.server, now)),
                    _ => None,
                };
                if let Answer::Stream { route, .. } = &answer {
                    self.look_for(&route.sid);
                }
                let Some((conn, sid)) = self.standing.complete_setup(viewer, stands) else {
                    // Its viewer went in this instant: nobody takes what the server has begun.
                    if let Answer::Stream { route, .. } = answer {
                        self.inputs.push(over(route.sid.clone(), EndReason::Quit, Load::default()));
                    }
                    return;
                };
                if let Some((server, _)) = stands {
                    self.links.stands(server);
                }
                tracing::info!(session = %sid, conn = conn.0, answer = answer.token(), "answered");
                let text = viewer::setup_response(&sid, &answer, |description| description.clone().into());
                self.write(conn, text);
                match answer {
                    Answer::Stream { route, .. } => {
                        self.usual(conn);
                        self.ended_early(&route.sid, route.server, route.address);
                    }
                    // It came under the id of one whose viewer went as it began to play: nobody follows here.
                    Answer::Follow(route) => {
                        self.inputs.push(over(route.sid.clone(), EndReason::Quit, Load::default()));
                    }
                    Answer::Refused { .. } | Answer::Failed { .. } => {}
                }
            }
            Command::Release { server, sid, .. } => {
                if self.standing.may_be_held_by_server(&sid) {
                    self.links.tell(server, Line::finish(&sid, cause::CANCELLED));
                }
            }
            Command::SessionEnded { sid, server, .. } => self.over(&sid, server),
            Command::RungChanged { server, sid, rung } => {
                let line = Line::new(Verb::Rate, &sid).with("rung", rung);
                self.links.tell(server, line);
            }
            // No disk survives this process, and it asks no peers.
            Command::Persist(_) | Command::KnowledgeMerged { .. } => {}
        }
    }
}
