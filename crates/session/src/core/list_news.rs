//! News of the server list, and what they mean for what is out.

use super::Core;
use crate::held::Session;
use crate::list::ListNews;
use crate::policy::Policy;
use crate::types::*;
use cloverhollow::{Event, ListMode, RequestId, ServerId};
use std::collections::BTreeSet;

impl<P: Policy, A: Clone, B> Core<P, A, B> {
    pub(super) fn news(&mut self, mut news: ListNews) {
        // Peers are told the list as it was kept.
        let heard = self.learning.listed(self.now, &news);
        self.lives.remind(&mut news);
        let applied = self.list.apply(self.now, &news, &self.terms);
        if news.mode == ListMode::Failed {
            tracing::warn!(version = self.list.version(), "server list broken; the last one stays");
        }
        self.events.push(Event::ListUpdate(news.mode, applied.entries));
        self.events.extend(heard.into_iter().map(Event::PeerReport));
        let failed = self.lives.remembers(|server| self.list.address(server).is_some());
        self.events.extend(failed.into_iter().map(Event::PeerReport));
        let whole = news.mode == ListMode::Full;
        for (address, held) in self.lives.let_go(whole, |server| self.list.address(server)) {
            let (server, sid) = (held.server, Sid::from(held.sid));
            self.commands.push(Command::Release { address, server, sid });
        }
        let deeds = self.lives.listed(&news, &applied.stopped);
        self.commands.extend(deeds.into_iter().map(Command::Keep));
        // Rule 3: a drain that comes between choice and send. What has not been sent is called back; the
        // module is told that it never ran, and picks anew.
        for server in applied.stopped {
            tracing::info!(server, "takes no new work");
            let low = AttemptId { request: 0, number: 0 };
            let high = AttemptId { request: RequestId::MAX, number: u32::MAX };
            let out: Vec<_> = self.out_at.range((server, low)..=(server, high)).map(|(_, a)| *a).collect();
            out.into_iter().for_each(|attempt| self.recall(attempt, RecallWhy::Drained));
        }
        self.let_go();
    }

    /// Lets go of what is kept of servers that are gone for good. One where a session is stays.
    pub(super) fn let_go(&mut self) {
        if !self.list.holds_gone() {
            return;
        }
        let used: BTreeSet<ServerId> = self.sessions.values().filter_map(Session::at).collect();
        self.list.let_go(|server| used.contains(&server));
        self.gauges.retain(|server, _| self.list.address(*server).is_some());
    }
}
