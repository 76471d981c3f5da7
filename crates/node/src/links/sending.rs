//! Sending of lines other than set-ups: releases, bit-rate changes and echo replies.

use super::*;

impl Links {
    /// Sends a line on an existing connection to the server, or queues it until there is one.
    pub(crate) fn send_line(&mut self, server: ServerId, line: Line) {
        let must_queue = self.queued_lines.contains_key(&server);
        if !must_queue && self.usable_link(server).is_some_and(|link| link.handle.write(line.encode())) {
            return;
        }
        self.session_established(server); // makes the monitor open a connection for the queued lines
        self.queued_lines.entry(server).or_default().push(&line);
    }

    fn usable_link(&self, server: ServerId) -> Option<&Link> {
        let idle = self.monitor.idle_link(server).and_then(|id| self.links.get(&id));
        let any = |l: &&Link| l.server == server && l.is_up && !l.is_closing && !l.is_replaced;
        idle.or_else(|| self.links.values().find(any))
    }

    /// Sends the queued lines of a server, all or none.
    pub(super) fn flush(&mut self, server: ServerId) {
        let Some(lines) = self.queued_lines.get(&server) else { return };
        if self.usable_link(server).is_some_and(|link| link.handle.write(lines.bytes())) {
            self.queued_lines.remove(&server);
        }
    }

    /// Sends a line on this connection only; drops it if the connection is closing.
    pub(crate) fn send_line_on(&self, id: LinkId, line: &Line) {
        if let Some(link) = self.links.get(&id).filter(|link| !link.is_closing) {
            link.handle.write(line.encode());
        }
    }

    /// Returns whether the connections' tasks have received every queued command.
    pub(crate) fn are_queues_empty(&self) -> bool {
        self.links.values().all(|l| l.handle.is_queue_empty())
    }

    /// Drops the queued lines of a server whose sessions are lost.
    pub(crate) fn drop_queued(&mut self, server: ServerId) {
        self.queued_lines.remove(&server);
    }
}
