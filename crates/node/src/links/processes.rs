//! Which server process is at the other end of a connection, and what happens when a process is replaced.

use super::*;
use bytes::Bytes;

impl Links {
    /// The process behind a connection to `address` that is up now.
    pub(super) fn process_at(&mut self, address: SocketAddr) -> ProcessId {
        let others = self.links.values().filter(|l| l.address == address && !l.is_replaced);
        others.filter_map(|l| l.process).max().unwrap_or_else(|| {
            self.last_process.0 += 1;
            self.last_process
        })
    }

    /// Handles the replacement of a server process: connections opened before `replaced_at` lead to the
    /// previous process, or have been taken for it. Releases of the `lost` sessions are sent in case it is still
    /// running, each only to the process that has spoken of the session. Each of the connections is closed once no
    /// set-up is open on it.
    pub(crate) fn process_replaced(&mut self, server: ServerId, replaced_at: Duration, lost: &[LostSession]) {
        let is_previous =
            |l: &Link| l.server == server && l.is_up && !l.is_closing && l.opened_at < replaced_at;
        let ids: Vec<LinkId> = self.links.iter().filter(|(_, l)| is_previous(l)).map(|(id, _)| *id).collect();
        let process_of = |id: &LinkId| Some((self.links.get(id)?.process?, *id));
        let links_by_process: HashMap<ProcessId, LinkId> = ids.iter().filter_map(process_of).collect();
        for (process, id) in links_by_process {
            let sessions = lost.iter().filter(|session| session.process == Some(process));
            let releases = sessions.flat_map(|session| Line::finish(&session.sid, cause::CANCELLED).encode());
            let releases: Bytes = releases.collect();
            if let Some(link) = self.links.get(&id).filter(|_| !releases.is_empty()) {
                link.handle.write(releases);
            }
        }
        for id in ids {
            let Some(link) = self.links.get_mut(&id) else { continue };
            link.is_replaced = true;
            if link.open_setup.is_none() {
                self.close(id, CloseReason::ProcessReplaced);
            }
        }
    }

    /// Sends a line that could not be delivered on a connection that has ended. A process that has been replaced
    /// can't be reached any more: another connection would lead to its successor.
    pub(super) fn resend_line(&mut self, ended: &Link, line: Line) {
        if !ended.is_replaced {
            self.send_line(ended.server, line);
        }
    }
}
