//! What the lines of video servers say, and which of them are dropped.

use super::*;
use std::net::SocketAddr;

/// Why a line of a video server has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DropReason {
    /// Its connection is not known any more.
    UnknownLink,
    /// No session of that id stands or is being set up here.
    UnknownSession,
    /// The session is being set up, and the line came on another connection than that of the attempt.
    BeingSetUp,
    /// The session stands at another process than the one that spoke.
    StandsElsewhere,
    /// The attempt on the connection has ended already.
    AttemptEnded,
    /// A note that can't be read.
    Unreadable,
}

impl Desk {
    /// Takes a line of a video server.
    pub(super) fn line(&mut self, id: LinkId, line: Line) {
        let Some(heard) = self.links.heard(id, &line) else {
            return dropped(id, None, &line, DropReason::UnknownLink);
        };
        tracing::debug!(link = id.0, server = heard.server, ?line, "heard");
        if !heard.own && matches!(line.verb, Verb::Started | Verb::Finish | Verb::Notice) {
            // What it says of a session may follow right behind the word that the session stands: a release, or a second copy
            // of the answer, which would be taken for one that nobody waits for.
            self.step();
        }
        if let Some(server) = self.stands_with(&heard, &line.sid).filter(|server| *server != heard.server) {
            self.links.heard_of(server);
        }
        let effect = match (line.verb, heard.own) {
            (Verb::Started, true) => self.started(id, &line),
            (Verb::Started, false) => self.started_for_nobody(&heard, &line),
            (Verb::Finish, true) => self.attempt_finished(id, &line),
            (Verb::Finish, false) => self.released(&heard, &line),
            (Verb::Notice, _) => self.note(&heard, &line),
            (Verb::Echo, _) => {
                // It tests that connection, no other.
                self.links.write_on(id, &Line { cause: Some(1), ..Line::new(Verb::Echoed, &line.sid) });
                Ok(())
            }
            // Progress and acknowledgements, and what a server has no reason to send.
            _ => Ok(()),
        };
        if let Err(reason) = effect {
            dropped(id, Some(heard.server), &line, reason);
        }
    }

    /// The answer to the set-up on that connection: its session stands.
    fn started(&mut self, id: LinkId, line: &Line) -> Result<(), DropReason> {
        let Some(answer) = line.description.clone() else {
            tracing::info!(link = id.0, session = %line.sid, "an answer without a description is given up");
            let ended = self.links.spoilt(id);
            self.ended(ended, server_reports::load_report(line));
            return Ok(());
        };
        let attempt = self.links.done(id).ok_or(DropReason::AttemptEnded)?;
        self.inputs.push(Input::Playing { attempt, load: Load::default(), response: answer });
        Ok(())
    }

    /// A set-up that was given up, or an answer to nothing: it holds nothing that anybody waits for, also where its
    /// session stands or is being set up elsewhere. On one that is being closed its give-up went out already.
    fn started_for_nobody(&mut self, heard: &Heard, line: &Line) -> Result<(), DropReason> {
        if heard.closing {
            return Err(DropReason::AttemptEnded);
        }
        if self.stands_with(heard, &line.sid).is_some()
            || self.links.out_to(heard.address, &line.sid).is_some()
        {
            return Err(DropReason::BeingSetUp);
        }
        tracing::info!(session = %line.sid, server = heard.server, "an answer that nobody waits for is given up");
        self.links.tell(heard.server, Line::finish(&line.sid, cause::DONE));
        Ok(())
    }

    /// The set-up on that connection ends without a session.
    fn attempt_finished(&mut self, id: LinkId, line: &Line) -> Result<(), DropReason> {
        let end = match line.cause {
            Some(cause::FULL) => AttemptEnd::Full,
            Some(cause::NEVER_SENT) => AttemptEnd::NeverSent,
            Some(cause::ERROR) => AttemptEnd::Error { status: cause::ERROR as u16 },
            _ => AttemptEnd::Reset,
        };
        let ended = self.links.done(id).map(|attempt| (attempt, end));
        self.ended(ended, server_reports::load_report(line));
        Ok(())
    }

    /// A session that stood is released by its server.
    fn released(&mut self, heard: &Heard, line: &Line) -> Result<(), DropReason> {
        let cause = line.cause.unwrap_or(cause::RESET);
        let Some(server) = self.stands_with(heard, &line.sid) else {
            return self.released_early(heard, line, cause);
        };
        if heard.closing && !ends_a_session(cause) {
            // It is the end of the set-up that was given up there.
            return Err(DropReason::AttemptEnded);
        }
        self.end_session(line.sid.as_str().into(), server, cause, server_reports::load_report(line));
        Ok(())
    }

    /// A session that stands is over by its server's word.
    fn end_session(&mut self, sid: SessionId, server: ServerId, cause: i64, load: Load) {
        let why = match cause {
            cause::DONE => EndReason::Ended,
            cause::CANCELLED => EndReason::Quit,
            _ => EndReason::Lost,
        };
        self.standing.record_release(server, &sid, cause);
        self.inputs.push(over(sid, why, load));
    }

    /// A release of a session that does not stand with the process that spoke. It is kept where the session may be about
    /// to: its answer is under way on another connection, or it is yet to be handed over.
    fn released_early(&mut self, heard: &Heard, line: &Line, cause: i64) -> Result<(), DropReason> {
        let (now, reason) = (self.clock.now(), self.not_standing(&line.sid));
        let attempt = self.links.out_to(heard.address, &line.sid);
        let to_come = match reason {
            DropReason::BeingSetUp => attempt.is_some(),
            DropReason::UnknownSession => now <= self.handed_over,
            _ => false,
        };
        if !to_come || heard.closing || !ends_a_session(cause) {
            return Err(reason);
        }
        tracing::info!(session = %line.sid, server = heard.server, cause, "released before it stands here");
        self.early.insert(now, line.sid.as_str().into(), heard.address, attempt, cause);
        Ok(())
    }

    /// A session has come to stand: if its server has released it already, it is over.
    pub(super) fn ended_early(&mut self, sid: &SessionId, server: ServerId, process: SocketAddr) {
        if let Some(cause) = self.early.take(self.clock.now(), sid, process) {
            self.end_session(sid.clone(), server, cause, Load::default());
        }
    }

    /// A note on a session that stands.
    fn note(&mut self, heard: &Heard, line: &Line) -> Result<(), DropReason> {
        let note = server_reports::session_report(line).ok_or(DropReason::Unreadable)?;
        // It speaks of as long ago as notes are late.
        let at = self.clock.now().saturating_sub(self.site.settings.report_delay);
        if let Some(gossip) = &mut self.gossip {
            gossip.read(at, heard.server, note);
        }
        self.inputs.push(Input::SessionReport { sid: line.sid.as_str().into(), report: note });
        Ok(())
    }

    /// Where a session stands, if it is with the process that spoke. A process may speak of its sessions on any of its
    /// connections, also on those that were opened to it under another number.
    fn stands_with(&self, heard: &Heard, sid: &str) -> Option<ServerId> {
        let server = self.standing.server_of(sid)?;
        let same = server == heard.server || self.core.server_list().address(server) == Some(heard.address);
        same.then_some(server)
    }

    /// Why a word on a session that does not stand where its server says so has no effect.
    fn not_standing(&self, sid: &str) -> DropReason {
        if !self.standing.contains(sid) {
            DropReason::UnknownSession
        } else if self.standing.connection_of_pending_setup(sid).is_some() {
            DropReason::BeingSetUp
        } else {
            DropReason::StandsElsewhere
        }
    }
}

/// Whether a session that stands may end by that cause; the others end a set-up.
fn ends_a_session(cause: i64) -> bool {
    matches!(cause, cause::DONE | cause::RESET | cause::CANCELLED)
}

/// Each line that has no effect is logged with the reason: it may be a word that somebody waits for.
fn dropped(link: LinkId, server: Option<ServerId>, line: &Line, reason: DropReason) {
    tracing::info!(
        link = link.0,
        server,
        session = %line.sid,
        verb = ?line.verb,
        cause = line.cause,
        ?reason,
        "a server's line is dropped"
    );
}
