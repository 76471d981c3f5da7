//! Lines to video servers beside set-ups: on a connection that is there, else on the next.

use super::*;

impl Links {
    /// A line for a video server: on a connection that is there, else on the next.
    pub(crate) fn tell(&mut self, server: ServerId, line: Line) {
        let waits = self.waiting.contains_key(&server);
        if !waits && self.at(server).is_some_and(|link| link.hold.write(line.encode())) {
            return;
        }
        self.stands(server); // it is connected to for these lines
        self.waiting.entry(server).or_default().push(&line);
    }

    /// A connection that is there and may carry a line.
    fn at(&self, server: ServerId) -> Option<&Link> {
        let idle = self.watch.idle_link(server).and_then(|id| self.links.get(&id));
        let any = |l: &&Link| l.server == server && l.up && !l.closing && !l.former;
        idle.or_else(|| self.links.values().find(any))
    }

    /// Lines that waited go, all or none.
    pub(super) fn flush(&mut self, server: ServerId) {
        let Some(lines) = self.waiting.get(&server) else { return };
        if self.at(server).is_some_and(|link| link.hold.write(lines.bytes())) {
            self.waiting.remove(&server);
        }
    }

    /// Writes a line on that connection and no other; nothing where it is being closed.
    pub(crate) fn write_on(&self, id: LinkId, line: &Line) {
        if let Some(link) = self.links.get(&id).filter(|link| !link.closing) {
            link.hold.write(line.encode());
        }
    }

    /// Whether the tasks have taken all lines.
    pub(crate) fn is_written(&self) -> bool {
        self.links.values().all(|l| l.hold.is_written())
    }

    /// The sessions there are cut: lines about them go nowhere.
    pub(crate) fn cut(&mut self, server: ServerId) {
        self.waiting.remove(&server);
    }

    /// The process of a server has been replaced by then: connections opened before lead to the former one. It is told to
    /// let its sessions go, should it live all the same, and each connection is closed once no set-up is open on it.
    pub(crate) fn replaced(&mut self, server: ServerId, by: Duration, cut: &[SessionId]) {
        let former = |l: &Link| l.server == server && l.up && !l.closing && l.opened < by;
        let ids: Vec<LinkId> = self.links.iter().filter(|(_, l)| former(l)).map(|(id, _)| *id).collect();
        if let Some(link) = ids.first().and_then(|id| self.links.get(id)) {
            cut.iter().for_each(|sid| _ = link.hold.write(Line::finish(sid, cause::CANCELLED).encode()));
        }
        for id in ids {
            let Some(link) = self.links.get_mut(&id) else { continue };
            link.former = true;
            if link.attempt.is_none() {
                self.close(id, CloseReason::FormerProcess);
            }
        }
    }
}
