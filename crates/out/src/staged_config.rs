//! A front's side of settings and layouts: staged, checked, then taken whole at a step boundary.

use crate::types::{ensure, InvariantViolation, ReleaseRecord, Term};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most generations kept: the one that holds, those that sessions began with, those that were staged.
pub const MAX_GENERATIONS: usize = 8;

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
    #[serde(rename = "Take")]
    Activate(Generation),
    /// Ask for a permit, and restart into that build.
    #[serde(rename = "Go")]
    Restart {
        /// Its word.
        #[serde(rename = "word")]
        build_id: u64,
    },
    /// Do not go, if it has not gone; come back, if it is out.
    Hold,
}

/// An order with the term of its driver's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencedOrder {
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
pub enum OrderError {
    /// A later driver has spoken.
    #[error("a later driver has spoken")]
    #[serde(rename = "Fence")]
    StaleFence(Term),
    /// That release is over here: a later one has come.
    #[error("a later release has come")]
    #[serde(rename = "Over")]
    StaleRelease(u64),
    /// It was not staged and checked.
    #[error("not staged and checked")]
    NotStaged,
    /// As many generations are in use as are kept.
    #[error("too many generations in use")]
    #[serde(rename = "Full")]
    TooManyGenerations,
    /// Older than what holds, or another text of the same number.
    #[error("an older generation, or another text")]
    #[serde(rename = "Older")]
    StaleGeneration,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Text {
    digest: u64,
    checked: bool,
    sessions: u32,
}

/// A front's side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StagedConfig {
    me: u64,
    fence: Term,
    release: u64,
    now: Generation,
    next: Option<Generation>,
    go: Option<u64>,
    texts: BTreeMap<u64, Text>,
}

impl StagedConfig {
    /// A front of that name that starts under those.
    pub fn new(me: u64, now: Generation) -> StagedConfig {
        let text = Text { digest: now.digest, checked: true, sessions: 0 };
        let texts = BTreeMap::from([(now.number, text)]);
        StagedConfig { me, fence: Term::default(), release: 0, now, next: None, go: None, texts }
    }

    /// A driver's order.
    ///
    /// # Errors
    /// It is not followed, and changed nothing.
    pub fn handle_order(&mut self, act: FencedOrder) -> Result<(), OrderError> {
        // Guards against a driver that stood still: what a later one did would be undone.
        if act.fence < self.fence {
            return Err(OrderError::StaleFence(self.fence));
        }
        if act.release < self.release {
            return Err(OrderError::StaleRelease(self.release));
        }
        match act.order {
            Order::Stage(g) => self.stage(g)?,
            Order::Activate(g) => self.take(g)?,
            Order::Restart { build_id: word } => self.go = Some(word),
            Order::Hold => (self.go, self.next) = (None, None),
        }
        (self.fence, self.release) = (act.fence, act.release);
        Ok(())
    }

    fn stage(&mut self, g: Generation) -> Result<(), OrderError> {
        if let Some(text) = self.texts.get(&g.number) {
            return if text.digest == g.digest { Ok(()) } else { Err(OrderError::StaleGeneration) };
        }
        if g.number < self.now.number {
            return Err(OrderError::StaleGeneration);
        }
        self.forget();
        if self.texts.len() >= MAX_GENERATIONS {
            return Err(OrderError::TooManyGenerations);
        }
        self.texts.insert(g.number, Text { digest: g.digest, ..Text::default() });
        Ok(())
    }

    fn take(&mut self, g: Generation) -> Result<(), OrderError> {
        if g == self.now {
            return Ok(());
        }
        if g.number <= self.now.number {
            return Err(OrderError::StaleGeneration);
        }
        if !self.texts.get(&g.number).is_some_and(|t| t.checked && t.digest == g.digest) {
            return Err(OrderError::NotStaged);
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
    pub fn missing_text(&self) -> Option<Generation> {
        let text = self.texts.iter().find(|(_, t)| !t.checked);
        text.map(|(number, t)| Generation { number: *number, digest: t.digest })
    }

    /// The text of that generation came. `digest`: as reckoned here; `good`: it can be read and passes all
    /// checks. Whether it is staged.
    pub fn receive_text(&mut self, number: u64, digest: u64, good: bool) -> bool {
        let Some(text) = self.texts.get_mut(&number) else { return false };
        text.checked |= good && text.digest == digest;
        text.checked
    }

    /// Between two steps: takes what is to be taken.
    pub fn activate_pending(&mut self) -> Option<Generation> {
        let taken = self.next.take()?;
        self.now = taken;
        self.forget();
        Some(taken)
    }

    /// What a request is decided under, from one boundary to the next.
    pub fn active(&self) -> Generation {
        self.now
    }

    /// A session begins: it keeps that generation to its end. `None`: more than can be counted.
    pub fn start_session(&mut self) -> Option<Generation> {
        let text = self.texts.get_mut(&self.now.number)?;
        text.sessions = text.sessions.checked_add(1)?;
        Some(self.now)
    }

    /// A session that began with that generation ends.
    pub fn end_session(&mut self, number: u64) {
        if let Some(text) = self.texts.get_mut(&number) {
            text.sessions = text.sessions.saturating_sub(1);
        }
        self.forget();
    }

    /// Whether that generation's text is here, for a session that began with it.
    pub fn has_text(&self, g: Generation) -> bool {
        self.texts.get(&g.number).is_some_and(|t| t.digest == g.digest && t.checked)
    }

    /// Somebody that was there says what holds now: one that was away stages it, and takes it once it is
    /// checked.
    ///
    /// # Errors
    /// As for an order.
    pub fn catch_up(&mut self, fence: Term, release: u64, holds: Generation) -> Result<(), OrderError> {
        if holds.number <= self.now.number && fence <= self.fence {
            return Ok(());
        }
        self.handle_order(FencedOrder { fence, release, order: Order::Stage(holds) })?;
        match self.handle_order(FencedOrder { fence, release, order: Order::Activate(holds) }) {
            Err(OrderError::NotStaged) => Ok(()),
            other => other,
        }
    }

    /// The release as the register has it: no order of an earlier driver is followed from now on. A front
    /// that starts asks for it before it follows any.
    pub fn observe_release(&mut self, record: &ReleaseRecord) {
        self.fence = self.fence.max(record.fence);
        self.release = self.release.max(record.number);
    }

    /// The build that it is to restart into, once it has a permit.
    pub fn pending_restart(&self) -> Option<u64> {
        self.go
    }

    /// The newest generation that is staged and checked.
    pub fn newest_staged(&self) -> Generation {
        let newest = self.texts.iter().rev().find(|(_, t)| t.checked);
        newest.map_or(self.now, |(number, t)| Generation { number: *number, digest: t.digest })
    }

    /// The highest fence seen.
    pub fn fence(&self) -> Term {
        self.fence
    }

    /// # Errors
    /// An invariant that does not hold.
    pub fn check_invariants(&self) -> Result<(), InvariantViolation> {
        let is = |good, what| ensure(good, "staged", self.me, what);
        is(self.texts.len() <= MAX_GENERATIONS, "no more generations than are kept")?;
        is(self.has_text(self.now), "what holds is here and checked")?;
        is(
            self.next.is_none_or(|g| self.has_text(g) && g.number > self.now.number),
            "what is next is checked",
        )
    }
}
