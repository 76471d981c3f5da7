//! Which server process holds a session, as far as it has spoken of it.

use super::*;

impl SessionRegistry {
    /// Records that a process has confirmed a session or spoken of it.
    pub fn heard_from(&mut self, process: ProcessId, sid: &str) {
        if let Some(session) = self.sessions.get_mut(sid) {
            session.process = Some(process);
        }
    }

    /// The process that has confirmed a session or spoken of it last.
    pub fn process_of(&self, sid: &str) -> Option<ProcessId> {
        self.sessions.get(sid)?.process
    }
}
