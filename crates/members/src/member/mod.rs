//! A member behind one door: datagrams in, datagrams out, a clock from outside.

mod check;
mod other;
mod told;

pub use other::MAX_QUEUED_APPLICATION_MESSAGES;
pub use told::{MemberConfig, MemberEvent, MemberStats, OutgoingDatagram};

use crate::identity::{Incarnation, MemberId};
use crate::lease_count::{FleetSize, LeaseCount};
use crate::seal::{Keys, ReceiveError, Sealer};
use crate::swim::{MemberRecord, Swim};
use crate::view::MembershipView;
use crate::witness::Witness;
use crate::words::Word;
use check::Marks;
use std::net::SocketAddr;
use std::time::Duration;

/// One member.
#[derive(Debug)]
pub struct Member {
    keys: Keys,
    sealer: Option<Sealer>,
    swim: Swim,
    heads: LeaseCount,
    witness: Option<Witness>,
    out: Vec<OutgoingDatagram>,
    notices: Vec<MemberEvent>,
    stats: MemberStats,
    marks: Marks,
    other: Vec<Vec<u8>>,
}

impl Member {
    /// A member that starts now.
    pub fn new(now: Duration, set: MemberConfig) -> Member {
        let (me, holder) = (set.local_id.address, set.local_id.incarnation.token);
        let is_witness = set.witnesses.contains(&set.local_id.address);
        Member {
            keys: Keys::new(&set.keys),
            sealer: set.keys.first().map(|key| Sealer::new(key.clone(), holder)),
            swim: Swim::new(now, set.local_id, set.swim, set.seed),
            heads: LeaseCount::new(now, me, holder, set.lease_duration, set.witnesses),
            witness: is_witness.then(|| Witness::new(now, me, LeaseCount::hold(set.lease_duration))),
            out: Vec::new(),
            notices: Vec::new(),
            stats: MemberStats::default(),
            marks: Marks::default(),
            other: Vec::new(),
        }
    }

    /// A datagram came. From which address says nothing: who sent it is in it, under the seal.
    ///
    /// # Errors
    /// It was not taken, and changed nothing.
    pub fn handle_datagram(&mut self, now: Duration, bytes: &[u8]) -> Result<(), ReceiveError> {
        self.mark(now);
        let before = self.standing();
        let taken = self.take(now, bytes);
        match taken {
            Ok(()) => self.stats.received += 1,
            Err(why) => *self.stats.rejected.entry(why).or_default() += 1,
        }
        self.tell(before);
        self.flush();
        taken
    }

    fn take(&mut self, now: Duration, bytes: &[u8]) -> Result<(), ReceiveError> {
        let (_, payload) = self.keys.open(bytes)?;
        match postcard::from_bytes(payload).map_err(|_| ReceiveError::Malformed)? {
            Word::Swim(bytes) => self.swim.message(now, &bytes),
            Word::Renew(renew) => {
                if let Some(counted) = self.witness.as_mut().map(|w| w.renew(now, renew)) {
                    self.say(renew.reply, &Word::Counted(counted));
                }
                Ok(())
            }
            Word::Counted(counted) => {
                self.heads.counted(now, counted);
                Ok(())
            }
            Word::Other(bytes) => self.hear_other(bytes),
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) {
        self.mark(now);
        let before = self.standing();
        if let Some(late) = self.swim.tick(now) {
            self.notices.push(MemberEvent::Stalled(late));
        }
        if let Some((renew, witnesses)) = self.heads.due(now) {
            let me = self.swim.local_id().address;
            for to in witnesses {
                match &mut self.witness {
                    Some(own) if to == me => {
                        let counted = own.renew(now, renew);
                        self.heads.counted(now, counted);
                    }
                    _ => self.say(to, &Word::Renew(renew)),
                }
            }
        }
        self.tell(before);
        self.flush();
    }

    /// What an operator hears of when it changes.
    fn standing(&self) -> (Incarnation, bool) {
        (self.swim.local_id().incarnation, self.swim.replaced_by().is_some())
    }

    fn tell(&mut self, (incarnation, back): (Incarnation, bool)) {
        if self.swim.local_id().incarnation != incarnation {
            self.notices.push(MemberEvent::IncarnationRaised(self.swim.local_id().clone()));
        }
        if let (Some(who), false) = (self.swim.replaced_by(), back) {
            self.notices.push(MemberEvent::Replaced(who.clone()));
        }
    }

    /// When [`Member::tick`] is next due.
    pub fn next_due(&self) -> Duration {
        self.heads.next_due().map_or(self.swim.next_due(), |t| t.min(self.swim.next_due()))
    }

    /// Leaves with a word.
    pub fn leave(&mut self, now: Duration) {
        self.mark(now);
        self.swim.leave(now);
        self.flush();
    }

    /// All that is held of the members, sealed, for one that asks over the side address with that number.
    pub fn records(&mut self, nonce: u64) -> Option<Vec<u8>> {
        let payload = postcard::to_stdvec(&(nonce, self.swim.records())).ok()?;
        self.sealer.as_mut().map(|s| s.seal(&payload))
    }

    /// Another's answer to that question.
    ///
    /// # Errors
    /// It was not taken, and changed nothing.
    pub fn sync(&mut self, now: Duration, nonce: u64, body: &[u8]) -> Result<(), ReceiveError> {
        self.mark(now);
        let (_, payload) = self.keys.open_body(body)?;
        let (asked, records) =
            postcard::from_bytes::<(u64, Vec<MemberRecord>)>(payload).map_err(|_| ReceiveError::Malformed)?;
        if asked != nonce {
            return Err(ReceiveError::Replayed);
        }
        let before = self.standing();
        self.swim.sync(now, records);
        self.tell(before);
        self.flush();
        Ok(())
    }

    /// Datagrams to be sent, since the last call.
    pub fn take_datagrams(&mut self) -> Vec<OutgoingDatagram> {
        std::mem::take(&mut self.out)
    }

    /// What happened, since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.notices)
    }

    /// MemberId is thought to be there.
    pub fn view(&self) -> &MembershipView {
        self.swim.view()
    }

    /// This member.
    pub fn local_id(&self) -> &MemberId {
        self.swim.local_id()
    }

    /// MemberId bears the same name, where this process is to step back.
    pub fn replaced_by(&self) -> Option<&MemberId> {
        self.swim.replaced_by()
    }

    /// The part, to be asked by [`FleetSize::at`] at the time of use.
    pub fn fleet_size(&self) -> Option<FleetSize> {
        self.heads.fleet_size()
    }

    /// The witness in this process, where it is one.
    pub fn witness(&self) -> Option<&Witness> {
        self.witness.as_ref()
    }

    /// Figures since the start.
    pub fn stats(&self) -> &MemberStats {
        &self.stats
    }

    fn flush(&mut self) {
        for (to, bytes) in self.swim.take_sends() {
            self.say(to, &Word::Swim(bytes));
        }
    }

    fn say(&mut self, to: SocketAddr, word: &Word) {
        let (Some(sealer), Ok(payload)) = (&mut self.sealer, postcard::to_stdvec(word)) else { return };
        let bytes = sealer.seal(&payload);
        self.stats.sent += 1;
        self.stats.sent_bytes += bytes.len() as u64;
        self.out.push(OutgoingDatagram { to, bytes });
    }
}
