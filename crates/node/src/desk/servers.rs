//! Video servers: what is sent there, what their lines say, whose sessions are cut.

use super::*;

impl Desk {
    pub(super) fn send(&mut self, setup: Setup<Ask>) {
        let Setup { attempt, server, address, sid, rung, paid, within, until, ask, .. } = setup;
        let line = Line { blob: Some(ask.blob), ..Line::new(Verb::Start, &sid) }
            .with("class", ask.class)
            .with("key", ask.key)
            .with("left", within.as_millis())
            .with("rung", rung);
        let waits = self.waits(&sid);
        self.links.send(Outgoing { attempt, server, address, sid, paid, line: line.encode(), until, waits });
    }

    pub(super) fn ended(&mut self, ended: Ended, load: Load) {
        if let Some((attempt, end)) = ended {
            self.inputs.push(Input::AttemptEnded { attempt, end, load });
        }
    }

    pub(super) fn line(&mut self, id: LinkId, line: Line) {
        let Some(Heard { server, own, closing }) = self.links.heard(id, &line) else { return };
        tracing::debug!(link = id.0, server, ?line, "heard");
        if !own && matches!(line.verb, Verb::Finish | Verb::Notice) {
            // What it says of a session may follow right behind the word that the session stands.
            self.step();
        }
        match (line.verb, own) {
            (Verb::Started, true) => match line.blob {
                Some(answer) => {
                    let Some(attempt) = self.links.done(id) else { return };
                    self.inputs.push(Input::Playing { attempt, load: Load::default(), answer });
                }
                None => {
                    let ended = self.links.spoilt(id);
                    self.ended(ended, told::load(&line));
                }
            },
            (Verb::Finish, true) => {
                let end = match line.rc {
                    Some(cause::FULL) => AttemptEnd::Full,
                    Some(cause::MOOT) => AttemptEnd::NeverSent,
                    Some(cause::ERROR) => AttemptEnd::Error { status: cause::ERROR as u16 },
                    _ => AttemptEnd::Reset,
                };
                let ended = self.links.done(id).map(|attempt| (attempt, end));
                self.ended(ended, told::load(&line));
            }
            (Verb::Finish, false) => {
                let cause = line.rc.unwrap_or(cause::RESET);
                if self.standing.released(server, &line.tag, cause) {
                    let why = match cause {
                        cause::DONE => OverWhy::Ended,
                        cause::CANCELLED => OverWhy::Quit,
                        _ => OverWhy::Lost,
                    };
                    let load = told::load(&line);
                    self.inputs.push(over(line.tag.into(), why, load));
                }
            }
            (Verb::Notice, _) => {
                if let Some(note) = told::note(&line) {
                    // It speaks of as long ago as notes are late.
                    let at = self.clock.now().saturating_sub(self.site.settings.told_late);
                    if let Some(gossip) = &mut self.gossip {
                        gossip.read(at, server, note);
                    }
                    self.inputs.push(Input::Note { sid: line.tag.into(), note });
                }
            }
            (Verb::Echo, _) => {
                let passed = Line { rc: Some(1), ..Line::new(Verb::Echoed, &line.tag) };
                self.links.tell(server, passed);
            }
            // A set-up that was given up, or an answer to nothing: it holds nothing that anybody waits for, also where
            // its session stands or is being set up elsewhere. On one that is being closed its give-up went out already.
            (Verb::Started, false) if !closing && self.nobodys(server, &line.tag) => {
                self.links.tell(server, Line::finish(&line.tag, cause::DONE));
            }
            _ => {}
        }
    }

    /// Whether a session neither stands at that server nor is being set up there.
    fn nobodys(&self, server: ServerId, sid: &str) -> bool {
        !self.standing.stands_at(server, sid) && !self.links.out_to(server, sid)
    }

    pub(super) fn down(&mut self, id: LinkId, down: Down, owed: Vec<Line>) {
        let ended = self.links.down(id, down, owed);
        self.ended(ended, Load::default());
    }

    pub(super) fn recall(&mut self, attempt: AttemptId, why: RecallWhy) {
        let ended = self.links.recall(attempt, why);
        self.ended(ended, Load::default());
    }

    /// A session that played in the core is over: its viewer is told, where it is owed that. Guards one that began to
    /// play in the instant in which its viewer went: it stands nowhere here, and its server would hold it for nobody.
    pub(super) fn over(&mut self, sid: &Sid, server: ServerId) {
        if !self.standing.stands_at(server, sid) {
            self.links.tell(server, Line::finish(sid, cause::CANCELLED));
        } else if let Some(release) = self.standing.over(sid) {
            self.release(release);
        }
    }

    pub(super) fn look(&mut self) {
        let now = self.clock.now();
        if let Some(gossip) = &mut self.gossip {
            gossip.tell(now);
        }
        let (standing, core) = (&self.standing, &self.core);
        let cut = self.links.look(|server| standing.any_at(server), |server| core.list().address(server));
        cut.into_iter().for_each(|server| self.cut(server, Duration::MAX));
    }

    /// The sessions that stood at a server before that time are cut.
    pub(super) fn cut(&mut self, server: ServerId, before: Duration) {
        let cut = self.standing.at(server, before);
        self.links.cut(server);
        if cut.is_empty() {
            return;
        }
        tracing::info!(server, sessions = cut.len(), "a video server has cut its sessions");
        for sid in cut {
            self.standing.released(server, &sid, cause::RESET);
            self.inputs.push(over(sid, OverWhy::Lost, Load::default()));
        }
    }
}
