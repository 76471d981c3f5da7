//! A member behind one door: datagrams in, datagrams out, a clock from outside.

mod check;
mod other;
mod told;

pub use other::MOST_OTHER;
pub use told::{MemberSettings, Notice, Outgoing, Status};

use crate::heads::{Heads, Part};
use crate::seal::{Keys, Refused, Sealer};
use crate::swim::{Record, Swim};
use crate::view::View;
use crate::who::{Life, Who};
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
    heads: Heads,
    witness: Option<Witness>,
    out: Vec<Outgoing>,
    notices: Vec<Notice>,
    status: Status,
    marks: Marks,
    other: Vec<Vec<u8>>,
}

impl Member {
    /// A member that starts now.
    pub fn new(now: Duration, set: MemberSettings) -> Member {
        let (me, holder) = (set.me.address, set.me.life.token);
        let is_witness = set.witnesses.contains(&set.me.address);
        Member {
            keys: Keys::new(&set.keys),
            sealer: set.keys.first().map(|key| Sealer::new(key.clone(), holder)),
            swim: Swim::new(now, set.me, set.swim, set.seed),
            heads: Heads::new(now, me, holder, set.lease, set.witnesses),
            witness: is_witness.then(|| Witness::new(now, me, Heads::hold(set.lease))),
            out: Vec::new(),
            notices: Vec::new(),
            status: Status::default(),
            marks: Marks::default(),
            other: Vec::new(),
        }
    }

    /// A datagram came. From which address says nothing: who sent it is in it, under the seal.
    ///
    /// # Errors
    /// It was not taken, and changed nothing.
    pub fn datagram(&mut self, now: Duration, bytes: &[u8]) -> Result<(), Refused> {
        self.mark(now);
        let before = self.standing();
        let taken = self.take(now, bytes);
        match taken {
            Ok(()) => self.status.taken += 1,
            Err(why) => *self.status.refused.entry(why).or_default() += 1,
        }
        self.tell(before);
        self.flush();
        taken
    }

    fn take(&mut self, now: Duration, bytes: &[u8]) -> Result<(), Refused> {
        let (_, payload) = self.keys.open(bytes)?;
        match postcard::from_bytes(payload).map_err(|_| Refused::Unreadable)? {
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
            self.notices.push(Notice::StoodStill(late));
        }
        if let Some((renew, witnesses)) = self.heads.due(now) {
            let me = self.swim.me().address;
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
    fn standing(&self) -> (Life, bool) {
        (self.swim.me().life, self.swim.stepped_back().is_some())
    }

    fn tell(&mut self, (life, back): (Life, bool)) {
        if self.swim.me().life != life {
            self.notices.push(Notice::Risen(self.swim.me().clone()));
        }
        if let (Some(who), false) = (self.swim.stepped_back(), back) {
            self.notices.push(Notice::StepBack(who.clone()));
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
    pub fn sync(&mut self, now: Duration, nonce: u64, body: &[u8]) -> Result<(), Refused> {
        self.mark(now);
        let (_, payload) = self.keys.open_body(body)?;
        let (asked, records) =
            postcard::from_bytes::<(u64, Vec<Record>)>(payload).map_err(|_| Refused::Unreadable)?;
        if asked != nonce {
            return Err(Refused::Repeated);
        }
        let before = self.standing();
        self.swim.sync(now, records);
        self.tell(before);
        self.flush();
        Ok(())
    }

    /// Datagrams to be sent, since the last call.
    pub fn take_out(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.out)
    }

    /// What happened, since the last call.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// Who is thought to be there.
    pub fn view(&self) -> &View {
        self.swim.view()
    }

    /// This member.
    pub fn me(&self) -> &Who {
        self.swim.me()
    }

    /// Who bears the same name, where this process is to step back.
    pub fn stepped_back(&self) -> Option<&Who> {
        self.swim.stepped_back()
    }

    /// The part, to be asked by [`Part::at`] at the time of use.
    pub fn part(&self) -> Option<Part> {
        self.heads.part()
    }

    /// The witness in this process, where it is one.
    pub fn witness(&self) -> Option<&Witness> {
        self.witness.as_ref()
    }

    /// Figures since the start.
    pub fn status(&self) -> &Status {
        &self.status
    }

    fn flush(&mut self) {
        for (to, bytes) in self.swim.take_sends() {
            self.say(to, &Word::Swim(bytes));
        }
    }

    fn say(&mut self, to: SocketAddr, word: &Word) {
        let (Some(sealer), Ok(payload)) = (&mut self.sealer, postcard::to_stdvec(word)) else { return };
        let bytes = sealer.seal(&payload);
        self.status.sent += 1;
        self.status.sent_bytes += bytes.len() as u64;
        self.out.push(Outgoing { to, bytes });
    }
}
