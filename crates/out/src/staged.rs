//! A front's side of settings and layouts: staged, checked, then taken whole at a step boundary.

use crate::types::{holds, Broken, ReleaseRecord, Term};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most generations kept: the one that holds, those that sessions began with, those that were staged.
pub const MOST_GENERATIONS: usize = 8;

/// One text of settings, or of the layout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Generation {
    /// Rises.
    pub number: u64,
    /// Of the text.
    pub digest: u64,
}

/// What a driver tells a front to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Order {
    /// Fetch that text and check it.
    Stage(Generation),
    /// Take it at the next step boundary.
    Take(Generation),
    /// Ask for a permit, and restart into that build.
    Go {
        /// Its word.
        word: u64,
    },
    /// Do not go, if it has not gone; come back, if it is out.
    Hold,
}

/// An order with the term of its driver's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Act {
    /// The fence.
    pub fence: Term,
    /// The release.
    pub release: u64,
    /// What.
    pub order: Order,
}

/// Why an order was not followed.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, thiserror::Error,
)]
pub enum Refusal {
    /// A later driver has spoken.
    #[error("a later driver has spoken")]
    Fence(Term),
    /// That release is over here: a later one has come.
    #[error("a later release has come")]
    Over(u64),
    /// It was not staged and checked.
    #[error("not staged and checked")]
    NotStaged,
    /// As many generations are in use as are kept.
    #[error("too many generations in use")]
    Full,
    /// Older than what holds, or another text of the same number.
    #[error("an older generation, or another text")]
    Older,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Text {
    digest: u64,
    checked: bool,
    sessions: u32,
}

/// A front's side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Staged {
    me: u64,
    fence: Term,
    release: u64,
    now: Generation,
    next: Option<Generation>,
    go: Option<u64>,
    texts: BTreeMap<u64, Text>,
}

impl Staged {
    /// A front of that name that starts under those.
    pub fn new(me: u64, now: Generation) -> Staged {
        let text = Text { digest: now.digest, checked: true, sessions: 0 };
        let texts = BTreeMap::from([(now.number, text)]);
        Staged { me, fence: Term::default(), release: 0, now, next: None, go: None, texts }
    }

    /// A driver's order.
    ///
    /// # Errors
    /// It is not followed, and changed nothing.
    pub fn act(&mut self, act: Act) -> Result<(), Refusal> {
        // Guards against a driver that stood still: what a later one did would be undone.
        if act.fence < self.fence {
            return Err(Refusal::Fence(self.fence));
        }
        if act.release < self.release {
            return Err(Refusal::Over(self.release));
        }
        match act.order {
            Order::Stage(g) => self.stage(g)?,
            Order::Take(g) => self.take(g)?,
            Order::Go { word } => self.go = Some(word),
            Order::Hold => (self.go, self.next) = (None, None),
        }
        (self.fence, self.release) = (act.fence, act.release);
        Ok(())
    }

    fn stage(&mut self, g: Generation) -> Result<(), Refusal> {
        if let Some(text) = self.texts.get(&g.number) {
            return if text.digest == g.digest { Ok(()) } else { Err(Refusal::Older) };
        }
        if g.number < self.now.number {
            return Err(Refusal::Older);
        }
        self.forget();
        if self.texts.len() >= MOST_GENERATIONS {
            return Err(Refusal::Full);
        }
        self.texts.insert(g.number, Text { digest: g.digest, ..Text::default() });
        Ok(())
    }

    fn take(&mut self, g: Generation) -> Result<(), Refusal> {
        if g == self.now {
            return Ok(());
        }
        if g.number <= self.now.number {
            return Err(Refusal::Older);
        }
        if !self.texts.get(&g.number).is_some_and(|t| t.checked && t.digest == g.digest) {
            return Err(Refusal::NotStaged);
        }
        self.next = Some(g);
        Ok(())
    }

    /// Texts that nobody can come to use any more go.
    fn forget(&mut self) {
        let (now, next) = (self.now.number, self.next.map(|g| g.number));
        self.texts.retain(|n, t| *n >= now || t.sessions > 0 || Some(*n) == next);
        // Of those that were staged and not taken the newest alone stays.
        let newest = self.texts.keys().next_back().copied();
        self.texts.retain(|n, t| *n <= now || t.sessions > 0 || Some(*n) == next || Some(*n) == newest);
    }

    /// A text that was to be staged: the first without one.
    pub fn wanted(&self) -> Option<Generation> {
        let text = self.texts.iter().find(|(_, t)| !t.checked);
        text.map(|(number, t)| Generation { number: *number, digest: t.digest })
    }

    /// The text of that generation came. `digest`: as reckoned here; `good`: it can be read and passes all
    /// checks. Whether it is staged.
    pub fn text(&mut self, number: u64, digest: u64, good: bool) -> bool {
        let Some(text) = self.texts.get_mut(&number) else { return false };
        text.checked |= good && text.digest == digest;
        text.checked
    }

    /// Between two steps: takes what is to be taken.
    pub fn boundary(&mut self) -> Option<Generation> {
        let taken = self.next.take()?;
        self.now = taken;
        self.forget();
        Some(taken)
    }

    /// What a request is decided under, from one boundary to the next.
    pub fn now(&self) -> Generation {
        self.now
    }

    /// A session begins: it keeps that generation to its end. `None`: more than can be counted.
    pub fn begins(&mut self) -> Option<Generation> {
        let text = self.texts.get_mut(&self.now.number)?;
        text.sessions = text.sessions.checked_add(1)?;
        Some(self.now)
    }

    /// A session that began with that generation ends.
    pub fn ends(&mut self, number: u64) {
        if let Some(text) = self.texts.get_mut(&number) {
            text.sessions = text.sessions.saturating_sub(1);
        }
        self.forget();
    }

    /// Whether that generation's text is here, for a session that began with it.
    pub fn keeps(&self, g: Generation) -> bool {
        self.texts.get(&g.number).is_some_and(|t| t.digest == g.digest && t.checked)
    }

    /// Somebody that was there says what holds now: one that was away stages it, and takes it once it is
    /// checked.
    ///
    /// # Errors
    /// As for an order.
    pub fn came_back(&mut self, fence: Term, release: u64, holds: Generation) -> Result<(), Refusal> {
        if holds.number <= self.now.number && fence <= self.fence {
            return Ok(());
        }
        self.act(Act { fence, release, order: Order::Stage(holds) })?;
        match self.act(Act { fence, release, order: Order::Take(holds) }) {
            Err(Refusal::NotStaged) => Ok(()),
            other => other,
        }
    }

    /// The release as the register has it: no order of an earlier driver is followed from now on. A front
    /// that starts asks for it before it follows any.
    pub fn heard(&mut self, record: &ReleaseRecord) {
        self.fence = self.fence.max(record.fence);
        self.release = self.release.max(record.number);
    }

    /// The build that it is to restart into, once it has a permit.
    pub fn go(&self) -> Option<u64> {
        self.go
    }

    /// The newest generation that is staged and checked.
    pub fn staged(&self) -> Generation {
        let newest = self.texts.iter().rev().find(|(_, t)| t.checked);
        newest.map_or(self.now, |(number, t)| Generation { number: *number, digest: t.digest })
    }

    /// The highest fence seen.
    pub fn fence(&self) -> Term {
        self.fence
    }

    /// # Errors
    /// An invariant that does not hold.
    pub fn check(&self) -> Result<(), Broken> {
        let is = |good, what| holds(good, "staged", self.me, what);
        is(self.texts.len() <= MOST_GENERATIONS, "no more generations than are kept")?;
        is(self.keeps(self.now), "what holds is here and checked")?;
        is(self.next.is_none_or(|g| self.keeps(g) && g.number > self.now.number), "what is next is checked")
    }
}
