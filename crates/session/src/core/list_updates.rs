//! Updates of the server list, and their effect on pending attempts. Rules are numbered as in the crate's
//! documentation.

use super::Core;
use crate::list::ListUpdate;
use crate::policy::Policy;
use crate::session_state::Session;
use crate::types::*;
use cloverhollow::{Event, ListMode, RequestId, ServerId};
use std::collections::BTreeSet;

impl<P: Policy, A: Clone, B> Core<P, A, B> {
    pub(super) fn update_list(&mut self, mut update: ListUpdate) {
        // Peers receive the list as discovery sent it, without this front's corrections.
        let peer_reports = self.knowledge.record_list_update(self.now, &update);
        self.history.apply_drains(&mut update);
        let applied = self.list.apply(self.now, &update, &self.config);
        if update.mode == ListMode::Failed {
            tracing::warn!(
                version = self.list.version(),
                "server list unavailable; the last known list stays in use"
            );
        }
        self.events.push(Event::ListUpdate(update.mode, applied.entries));
        self.events.extend(peer_reports.into_iter().map(Event::PeerReport));
        let failures = self.history.take_failures(|server| self.list.address(server).is_some());
        self.events.extend(failures.into_iter().map(Event::PeerReport));
        let full_list = update.mode == ListMode::Full;
        for (address, unreleased) in self.history.take_releases(full_list, |server| self.list.address(server))
        {
            let (server, sid) = (unreleased.server, SessionId::from(unreleased.sid));
            self.commands.push(Command::Release { address, server, sid });
        }
        let records = self.history.record_list_update(&update, &applied.stopped);
        self.commands.extend(records.into_iter().map(Command::Persist));
        // Rule 3: a drain may come between the decision and the first byte of a set-up. What has not been sent is
        // cancelled, and the policy is notified that it was not executed and chooses again.
        for server in applied.stopped {
            tracing::info!(server, "server accepts no new sessions");
            let first = AttemptId { request: 0, number: 0 };
            let last = AttemptId { request: RequestId::MAX, number: u32::MAX };
            let pending: Vec<_> =
                self.pending_attempts.range((server, first)..=(server, last)).map(|(_, a)| *a).collect();
            pending.into_iter().for_each(|attempt| self.cancel(attempt, CancelReason::Drained));
        }
        self.prune_gone_servers();
    }

    /// Drops what is held for servers that are gone and have no session.
    pub(super) fn prune_gone_servers(&mut self) {
        if !self.list.has_gone() {
            return;
        }
        let in_use: BTreeSet<ServerId> = self.sessions.values().filter_map(Session::server).collect();
        self.list.prune_gone(|server| in_use.contains(&server));
        self.report_throttles.retain(|server, _| self.list.address(*server).is_some());
    }
}
