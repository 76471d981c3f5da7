//! What fronts say to each other on permits, in one datagram: the register's words, and whether one takes viewers.
//!
//! The view tells who is there, not who is ready: a life that starts after a death has no permit and counts as out until
//! it has said itself that it takes viewers. It is asked by who wants to go, once for each life, and again until it
//! answers. A front that never answers (permits are off there) counts as out.

use super::{world, Out, MOST_ASKED, QUESTION};
use cloverhollow_members::{MemberState, MembershipView};
use cloverhollow_out::Message;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Said {
    /// The register's.
    Out(Message),
    /// Do you take viewers?
    Asks {
        /// Where the answer goes.
        reply: SocketAddr,
    },
    /// That life at that address takes viewers, from now on, or does not yet.
    Stands { who: SocketAddr, life: u64, back: bool },
}

impl Out {
    /// Something came in a datagram; what cannot be read is nothing.
    pub(crate) fn datagram(&mut self, now: Duration, bytes: &[u8]) {
        match postcard::from_bytes::<Said>(bytes) {
            Ok(Said::Out(word)) => self.word(now, word),
            Ok(Said::Asks { reply }) => {
                let said = Said::Stands { who: self.me, life: self.life, back: self.back };
                self.words.push((reply, said));
            }
            Ok(Said::Stands { who, life, back: true }) if self.strangers.contains(&(who, life)) => {
                self.ready.insert(who, life);
                self.looked = None;
            }
            Ok(Said::Stands { .. }) | Err(_) => {}
        }
    }

    /// Who is there and has not said that it takes viewers.
    pub(super) fn meet(&mut self, view: &MembershipView) {
        let there = |a: &SocketAddr| view.members.get(a).filter(|s| s.state == MemberState::Alive);
        self.ready.retain(|a, life| there(a).is_some_and(|s| s.id.incarnation.token == *life));
        let all = view.members.values().filter(|s| s.state == MemberState::Alive && s.id.address != self.me);
        let strange = all.filter(|s| !world::is_ready(&self.ready, s));
        self.strangers = strange.map(|s| (s.id.address, s.id.incarnation.token)).collect();
    }

    /// Asks some of those, where it is to go.
    pub(super) fn question(&mut self, now: Duration) {
        if !self.wanted || now < self.next_question || self.strangers.is_empty() {
            return;
        }
        self.next_question = now + QUESTION;
        // From a place drawn anew each time: those that never answer keep nobody from being asked.
        let from = fastrand::usize(..self.strangers.len());
        let some = self.strangers.iter().cycle().skip(from).take(MOST_ASKED.min(self.strangers.len()));
        let reply = self.me;
        self.words.extend(some.map(|(to, _)| (*to, Said::Asks { reply })));
    }
}
