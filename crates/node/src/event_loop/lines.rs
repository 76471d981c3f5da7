//! Handling of lines from video servers, and the reasons for dropping one.

use super::*;
use std::net::SocketAddr;

/// Reason for dropping a line from a video server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DropReason {
    /// The connection is no longer known.
    UnknownLink,
    /// No session of that id is established or being set up here.
    UnknownSession,
    /// The session is being set up by an attempt on another connection, or the line is a duplicate answer.
    SetupInProgress,
    /// The session is established at another process than the sender.
    EstablishedElsewhere,
    /// The attempt on the connection has already ended.
    AttemptEnded,
    /// A session report cannot be parsed.
    Malformed,
}

impl EventLoop {
    /// Handles a line from a video server.
    pub(super) fn line_received(&mut self, id: LinkId, line: Line) {
        let Some(source) = self.links.line_received(id, &line) else {
            return log_dropped_line(id, None, &line, DropReason::UnknownLink);
        };
        tracing::debug!(link = id.0, server = source.server, ?line, "line received");
        if !source.is_open_setup && matches!(line.verb, Verb::Started | Verb::Finish | Verb::Notice) {
            // The line may directly follow the answer that establishes its session: a release, or a duplicate
            // of the answer, which would be taken for one that nobody waits for. The answer has to take
            // effect first.
            self.step();
        }
        if let Some(server) = self.session_server(&source, &line.sid) {
            self.heard_from(&source, &line.sid);
            if server != source.server {
                self.links.message_received(server);
            }
        }
        let result = match (line.verb, source.is_open_setup) {
            (Verb::Started, true) => {
                self.heard_from(&source, &line.sid);
                self.setup_answered(id, &line)
            }
            (Verb::Started, false) => self.unexpected_answer(&source, &line),
            (Verb::Finish, true) => self.setup_finished(id, &line),
            (Verb::Finish, false) => self.session_released(&source, &line),
            (Verb::Notice, _) => self.session_report(&source, &line),
            (Verb::Echo, _) => {
                // An echo tests its own connection, so the reply must not use another one.
                self.links.send_line_on(id, &Line { cause: Some(1), ..Line::new(Verb::Echoed, &line.sid) });
                Ok(())
            }
            // Progress, acknowledgements, and verbs that servers do not send.
            _ => Ok(()),
        };
        if let Err(reason) = result {
            log_dropped_line(id, Some(source.server), &line, reason);
        }
    }

    /// Handles the answer to the set-up that is open on the connection: its session is established.
    fn setup_answered(&mut self, id: LinkId, line: &Line) -> Result<(), DropReason> {
        let Some(response) = line.description.clone() else {
            tracing::info!(link = id.0, session = %line.sid, "rejecting an answer without a description");
            let ended = self.links.reject_answer(id);
            self.attempt_ended(ended, server_reports::load_report(line));
            return Ok(());
        };
        let attempt = self.links.finish_setup(id).ok_or(DropReason::AttemptEnded)?;
        self.inputs.push(Input::Playing { attempt, load: Load::default(), response });
        Ok(())
    }

    /// Handles an answer that belongs to a cancelled set-up or to none. Nobody waits for its session, so a
    /// release is sent to the server, unless the session is established or being set up at that process. On a
    /// closing connection the release has already been sent.
    fn unexpected_answer(&mut self, source: &LineSource, line: &Line) -> Result<(), DropReason> {
        if source.is_closing {
            return Err(DropReason::AttemptEnded);
        }
        if self.session_server(source, &line.sid).is_some()
            || self.links.setup_at(source.address, &line.sid).is_some()
        {
            return Err(DropReason::SetupInProgress);
        }
        tracing::info!(session = %line.sid, server = source.server, "releasing a session that nobody waits for");
        self.links.send_line(source.server, Line::finish(&line.sid, cause::DONE));
        Ok(())
    }

    /// Handles the end of the set-up that is open on the connection, without a session.
    fn setup_finished(&mut self, id: LinkId, line: &Line) -> Result<(), DropReason> {
        let end = match line.cause {
            Some(cause::FULL) => AttemptEnd::Full,
            Some(cause::NEVER_SENT) => AttemptEnd::NeverSent,
            Some(cause::ERROR) => AttemptEnd::Error { status: cause::ERROR as u16 },
            _ => AttemptEnd::Reset,
        };
        let ended = self.links.finish_setup(id).map(|attempt| (attempt, end));
        self.attempt_ended(ended, server_reports::load_report(line));
        Ok(())
    }

    /// Handles the release of an established session by its server.
    fn session_released(&mut self, source: &LineSource, line: &Line) -> Result<(), DropReason> {
        let cause = line.cause.unwrap_or(cause::RESET);
        let Some(server) = self.session_server(source, &line.sid) else {
            return self.released_early(source, line, cause);
        };
        if source.is_closing && !ends_session(cause) {
            // The line ends the set-up that was cancelled on that connection.
            return Err(DropReason::AttemptEnded);
        }
        self.end_session(line.sid.as_str().into(), server, cause, server_reports::load_report(line));
        Ok(())
    }

    /// Ends an established session that its server has released.
    fn end_session(&mut self, sid: SessionId, server: ServerId, cause: i64, load: Load) {
        let reason = match cause {
            cause::DONE => EndReason::Ended,
            cause::CANCELLED => EndReason::Quit,
            _ => EndReason::Lost,
        };
        self.registry.record_release(server, &sid, cause);
        self.inputs.push(session_ended_input(sid, reason, load));
    }

    /// Handles the release of a session that is not established at the sender. The release is retained if the
    /// session may be established there soon: its answer is in transit on another connection, or it has yet
    /// to be handed over.
    fn released_early(&mut self, source: &LineSource, line: &Line, cause: i64) -> Result<(), DropReason> {
        let (now, reason) = (self.clock.now(), self.not_established_reason(&line.sid));
        let attempt = self.links.setup_at(source.address, &line.sid);
        let may_be_established = match reason {
            DropReason::SetupInProgress => attempt.is_some(),
            DropReason::UnknownSession => now <= self.handover_until,
            _ => false,
        };
        if !may_be_established || source.is_closing || !ends_session(cause) {
            return Err(reason);
        }
        tracing::info!(session = %line.sid, server = source.server, cause, "session released before it is established");
        self.early_releases.insert(now, line.sid.as_str().into(), source.address, attempt, cause);
        Ok(())
    }

    /// Ends a session that has just been established if its server released it earlier. `process` is the
    /// listen address of the server process.
    pub(super) fn apply_early_release(&mut self, sid: &SessionId, server: ServerId, process: SocketAddr) {
        if let Some(cause) = self.early_releases.take(self.clock.now(), sid, process) {
            self.end_session(sid.clone(), server, cause, Load::default());
        }
    }

    /// Handles a report on an established session.
    fn session_report(&mut self, source: &LineSource, line: &Line) -> Result<(), DropReason> {
        let report = server_reports::session_report(line).ok_or(DropReason::Malformed)?;
        // Reports arrive late by `report_delay`, so the load was measured that long ago.
        let measured_at = self.clock.now().saturating_sub(self.site.settings.report_delay);
        if let Some(gossip) = &mut self.gossip {
            gossip.record_load(measured_at, source.server, report);
        }
        self.inputs.push(Input::SessionReport { sid: line.sid.as_str().into(), report });
        Ok(())
    }

    /// Returns the server of the session if the session is established at the sending process. A process may
    /// use any of its connections for any of its sessions, including connections opened to it under another
    /// server id.
    fn session_server(&self, source: &LineSource, sid: &str) -> Option<ServerId> {
        let server = self.registry.server_of(sid)?;
        let is_sender =
            server == source.server || self.core.server_list().address(server) == Some(source.address);
        is_sender.then_some(server)
    }

    /// Records which process spoke of a session.
    fn heard_from(&mut self, source: &LineSource, sid: &str) {
        if let Some(process) = source.process {
            self.registry.heard_from(process, sid);
        }
    }

    /// Returns the reason for dropping a line about a session that is not established at the sender.
    fn not_established_reason(&self, sid: &str) -> DropReason {
        if !self.registry.contains(sid) {
            DropReason::UnknownSession
        } else if self.registry.connection_of_pending_setup(sid).is_some() {
            DropReason::SetupInProgress
        } else {
            DropReason::EstablishedElsewhere
        }
    }
}

/// Returns whether the cause ends an established session; the other causes end a set-up.
fn ends_session(cause: i64) -> bool {
    matches!(cause, cause::DONE | cause::RESET | cause::CANCELLED)
}

/// Logs a line that has no effect, as it may be one that somebody waits for.
fn log_dropped_line(link: LinkId, server: Option<ServerId>, line: &Line, reason: DropReason) {
    tracing::info!(
        link = link.0,
        server,
        session = %line.sid,
        verb = ?line.verb,
        cause = line.cause,
        ?reason,
        "dropping a line from a video server"
    );
}
