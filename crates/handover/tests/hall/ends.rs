//! What sessions' viewers and servers see, and what is found at the end.

use super::*;

/// One way from a front to a receiver, and back, in order.
pub const WIRE: u64 = 10;
/// A session seen from outside.
#[derive(Default)]
pub struct Ends {
    pub plain: bool,
    pub viewer_at: Option<usize>,
    pub ear: Ear,
    pub server_ear: Ear,
    pub viewer: Vec<Saying>,
    pub server: Vec<Saying>,
    pub given_viewer: Vec<Saying>,
    pub given_server: Vec<Saying>,
    /// By a death, or a front that gave up.
    pub lost: bool,
    pub over: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Report {
    pub messages: usize,
    pub bytes: usize,
    pub handed_on: usize,
    pub stayed: usize,
    pub lost: usize,
    pub told: usize,
    /// From the switch until the viewer is at the taker, ms.
    pub stalls: Vec<u64>,
    pub copies: usize,
}

impl Fleet {
    /// A session that begins at that front; `out`: its set-up is not answered yet.
    pub fn begin(&mut self, at: usize, key: u64, paid: bool, out: bool, plain: bool) {
        let server = key % 14;
        let attempt = if out { Attempt::Out { server } } else { Attempt::Ran { server } };
        let live = Live { attempt, server: (!out).then_some(server), rung: 2, ..Live::default() };
        let (sid, words, heard, last) = (format!("s-{key:08}").into(), vec![], vec![], Nth(0));
        let (class, title, generation) = (1, key, Generation(1));
        let c = Channel { sid, class, title, tenant: Some(0), paid, live, words, heard, last, generation };
        let side = Side::began(id(at), c, Epoch(0)).expect("within its bounds");
        self.fronts[at].sides.insert(key, side);
        self.ends.insert(key, Ends { plain, ..Ends::default() });
        self.viewer(at, key);
        self.open_server(at, key);
        for n in 0..8 {
            let when = self.drawn(20_000);
            self.at(ms(when), Ev::Word { key, n });
        }
        self.after(key % 700, Ev::Object { key, n: 1 });
        if out {
            let when = 4_000 + self.drawn(4_000);
            self.at(ms(when), Ev::SetUp { key });
        }
    }

    fn server_kind(&self, key: u64) -> Kind {
        if self.ends[&key].plain {
            Kind::Plain
        } else {
            Kind::Numbered
        }
    }

    fn open_server(&mut self, at: usize, key: u64) {
        let kind = self.server_kind(key);
        self.here(at, key, Input::Opened { to: For::Server(key % 14), kind });
    }

    pub fn viewer(&mut self, at: usize, key: u64) {
        if !self.fronts[at].up || self.ends[&key].lost {
            return;
        }
        if self.fronts[at].until.is_some_and(|u| u > self.now) {
            return self.after(100, Ev::Viewer { at, key });
        }
        let Some(giver) = self.fronts[at].sides.get(&key).and_then(Side::giver) else { return };
        if let Stage::Closed { at: there } = giver.stage() {
            return self.after(2 * WIRE, Ev::Viewer { at: there.0 as usize - 1, key });
        }
        let seen = self.ends[&key].ear.seen();
        if let Some(e) = self.ends.get_mut(&key) {
            e.viewer_at = Some(at);
        }
        if let Some(since) = self.switched.remove(&key) {
            self.report.stalls.push((self.now - since).as_millis() as u64);
        }
        self.here(at, key, Input::Opened { to: For::Viewer, kind: Kind::Numbered });
        self.here(at, key, Input::Confirmed { by: For::Viewer, upto: seen });
    }

    pub fn act(&mut self, at: usize, key: u64, act: Act) {
        match act {
            Act::Do(Output::Tell(to, says)) => self.send(at, to.0 as usize - 1, key, Says::ToTaker(says)),
            Act::Tell(to, says) => self.send(at, to.0 as usize - 1, key, Says::ToGiver(says)),
            Act::Do(Output::Say(say)) => self.after(WIRE, Ev::Say { from: at, key, say }),
            // All that was written on it has been read, and confirmed, by then.
            Act::Do(Output::Shut(to)) => {
                let kind = self.server_kind(key);
                self.after(2 * WIRE + 1, Ev::Here { at, key, input: Input::Shut { to } });
                self.after(2 * WIRE + 2, Ev::Here { at, key, input: Input::Opened { to, kind } });
            }
            Act::Do(Output::HandedOn(to)) => {
                self.report.handed_on += 1;
                // Told on its connection, it comes to the other.
                if self.ends[&key].viewer_at == Some(at) {
                    self.after(2 * WIRE, Ev::Viewer { at: to.0 as usize - 1, key });
                }
            }
            Act::Mine(_) => {
                self.open_server(at, key);
                if self.fronts[at].leaving {
                    self.hand_on(at, key);
                }
            }
            Act::Do(Output::Busy(_)) => {}
            Act::Do(Output::Stayed(..)) => {
                self.report.stayed += 1;
                self.switched.remove(&key);
            }
            Act::Do(Output::Failed | Output::ComeAgain) => {
                self.report.told += 1;
                self.lose(key);
            }
        }
    }

    pub fn lose(&mut self, key: u64) {
        if let Some(e) = self.ends.get_mut(&key).filter(|e| !e.lost) {
            e.lost = true;
            self.report.lost += 1;
        }
    }

    pub fn say(&mut self, from: usize, key: u64, say: Say) {
        let Some(e) = self.ends.get_mut(&key) else { return };
        let news = match (say.to, e.plain) {
            (For::Viewer, _) => e.ear.take(&say) == Took::Taken,
            (_, false) => e.server_ear.take(&say) == Took::Taken,
            (_, true) => true,
        };
        self.report.copies += usize::from(!news);
        let upto = match (say.to, e.plain) {
            (For::Viewer, _) => e.ear.seen(),
            (_, false) => e.server_ear.seen(),
            (_, true) => say.nth,
        };
        if news {
            let row = if say.to == For::Viewer { &mut e.viewer } else { &mut e.server };
            row.push(say.what);
        }
        self.after(WIRE, Ev::Here { at: from, key, input: Input::Confirmed { by: say.to, upto } });
    }

    pub fn word(&mut self, key: u64, n: u8) {
        if self.ends[&key].lost {
            return;
        }
        let Some(at) = self.owner(key).filter(|at| self.fronts[*at].until.is_none_or(|u| u <= self.now))
        else {
            return self.after(50, Ev::Word { key, n });
        };
        let to = if n.is_multiple_of(2) { For::Viewer } else { For::Server(key % 14) };
        let what = if n.is_multiple_of(2) { Saying::Rung(n) } else { Saying::ComeBack(u32::from(n)) };
        let giver = self.fronts[at].sides.get_mut(&key).and_then(Side::giver_mut);
        let Some(Ok(acts)) = giver.map(|g| g.word(to, what)) else { return };
        if let Some(e) = self.ends.get_mut(&key) {
            let row = if to == For::Viewer { &mut e.given_viewer } else { &mut e.given_server };
            row.push(what);
        }
        self.done(at, key, acts.into_iter().map(Act::Do).collect());
    }

    /// The viewer asks for the next object where it is, if that front can answer; else it asks again.
    pub fn object(&mut self, key: u64, n: u64) {
        let e = &self.ends[&key];
        if e.lost || self.now > ms(40_000) {
            return;
        }
        match e.viewer_at.filter(|at| self.owner(key) == Some(*at)) {
            Some(at) => {
                self.here(at, key, Input::Asked { object: n });
                self.here(at, key, Input::Began { object: n });
                let flows = 100 + self.drawn(900);
                self.after(flows, Ev::Here { at, key, input: Input::Ended { object: n } });
                self.after(flows + 500, Ev::Object { key, n: n + 1 });
            }
            None => self.after(100, Ev::Object { key, n }),
        }
    }

    pub fn set_up(&mut self, key: u64) {
        let Some(at) = self.owner(key) else { return };
        let Some(live) =
            self.fronts[at].sides.get(&key).and_then(Side::giver).map(|g| g.identity().live.clone())
        else {
            return;
        };
        assert_eq!(live.attempt, Attempt::Out { server: key % 14 }, "its answer is heard by who sent it");
        let attempt = Attempt::Ran { server: key % 14 };
        self.here(at, key, Input::Changed(Live { attempt, server: Some(key % 14), ..live }));
    }
}
