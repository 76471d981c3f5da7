//! How a set-up on a connection ends, and what is proven of it then; how connections end.

use super::*;

impl Links {
    /// No set-up is open on it any more: the one that was.
    pub(crate) fn done(&mut self, id: LinkId) -> Option<AttemptId> {
        let (attempt, _) = self.settle(id)?;
        self.rest(id);
        Some(attempt)
    }

    /// A connection on which no set-up is open any more waits for the next.
    fn rest(&mut self, id: LinkId) {
        let Some(link) = self.links.get(&id) else { return };
        if link.former {
            return self.close(id, CloseReason::FormerProcess);
        }
        self.watch.link_idle(self.clock.now(), link.server, id);
    }

    fn settle(&mut self, id: LinkId) -> Option<(AttemptId, SessionId)> {
        let link = self.links.get_mut(&id)?;
        let (attempt, sid) = link.attempt.take()?;
        self.out.remove(&attempt);
        Some((attempt, sid))
    }

    /// That set-up was not sent, and never will be on it: it was decided too long ago. One that was recalled meanwhile
    /// has ended, and the connection may carry another.
    pub(crate) fn unsent(&mut self, id: LinkId, attempt: AttemptId) -> Ended {
        let open = self.out.get(&attempt) == Some(&id);
        open.then(|| self.done(id)).flatten().map(|attempt| (attempt, AttemptEnd::NeverSent))
    }

    /// A connection ended. `owed`: the releases that its server may not have read.
    pub(crate) fn down(&mut self, id: LinkId, down: LinkEndReason, owed: Vec<Line>) -> Ended {
        let attempt = self.settle(id);
        let link = self.links.remove(&id)?;
        let session = attempt.as_ref().map(|(_, sid)| &**sid);
        let (server, address, owed_lines) = (link.server, link.address, owed.len());
        tracing::info!(link = id.0, server, %address, ?down, session, owed_lines, "connection to a server ended");
        self.watch.link_down(self.clock.now(), link.server, id, down);
        owed.into_iter().for_each(|line| self.tell(link.server, line));
        let (attempt, sid) = attempt?;
        let end = match down {
            LinkEndReason::Refused | LinkEndReason::ConnectTimeout => AttemptEnd::NotConnected,
            LinkEndReason::LocalError => AttemptEnd::NeverSent,
            // The first byte had not gone out and now never will: a used connection broke under the set-up's feet.
            LinkEndReason::Disconnected | LinkEndReason::Corrupt if link.gate.try_cancel() => {
                AttemptEnd::NeverSent
            }
            LinkEndReason::Disconnected => AttemptEnd::Reset,
            LinkEndReason::Corrupt => {
                // Its session may stand already: the answer is what was spoilt.
                self.tell(link.server, Line::finish(&sid, cause::DONE));
                AttemptEnd::Reset
            }
        };
        Some((attempt, end))
    }

    /// The answer to the set-up on it can't be used: it is given up.
    pub(crate) fn spoilt(&mut self, id: LinkId) -> Ended {
        let (attempt, sid) = self.settle(id)?;
        self.give_up(id, &sid);
        Some((attempt, AttemptEnd::Reset))
    }

    pub(crate) fn recall(&mut self, attempt: AttemptId, why: CancelReason) -> Ended {
        let id = self.out.get(&attempt).copied()?;
        let link = self.links.get(&id)?;
        let (unsent, up) = (link.gate.try_cancel(), link.up);
        if !unsent && why == CancelReason::Drained {
            return None;
        }
        let (attempt, sid) = self.settle(id)?;
        match (unsent, up) {
            // Nothing went out on it: it is as good as before.
            (true, true) => self.rest(id),
            (true, false) => drop(self.down(id, LinkEndReason::Disconnected, Vec::new())),
            (false, _) => self.give_up(id, &sid),
        }
        Some((attempt, if unsent { AttemptEnd::NeverSent } else { AttemptEnd::Unanswered }))
    }

    /// Tells the server that the set-up on that connection is given up, and closes it.
    fn give_up(&mut self, id: LinkId, sid: &SessionId) {
        let Some(link) = self.links.get(&id) else { return };
        let (server, line) = (link.server, Line::finish(sid, cause::DONE));
        let told = link.hold.last(line.encode());
        self.close(id, CloseReason::GivenUp);
        if !told {
            self.tell(server, line); // it has just broken: its session may stand all the same
        }
    }

    /// Closes a connection after what is queued on it. One that has just broken is removed when that is heard.
    pub(super) fn close(&mut self, id: LinkId, reason: CloseReason) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.closing = true;
        tracing::info!(link = id.0, server = link.server, ?reason, "connection to a server is closed");
        self.watch.link_closing(link.server, id);
        if !link.hold.close(reason.linger()) && !link.hold.orders.is_closed() {
            self.links.remove(&id);
        }
    }
}
