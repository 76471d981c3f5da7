//! Settings and layouts at a front: staged, checked, then activated as a whole between two steps of the front,
//! so that no step runs under two texts.

use crate::order::{FencedOrder, Generation, Order, OrderError};
use crate::types::{ensure, InvariantViolation, ReleaseRecord, Term};
use std::collections::BTreeMap;

/// Maximum number of generations retained: the active one, those that sessions started with, and staged ones.
pub const MAX_GENERATIONS: usize = 8;

/// Retained text of one generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Text {
    /// Digest of the text.
    digest: u64,
    /// True once the text has been fetched and has passed its checks.
    checked: bool,
    /// Number of sessions that started with the text and have not ended.
    sessions: u32,
}

/// Staged and active texts of a front, and its pending restart.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StagedConfig {
    /// Name of the front, as in [`crate::Subject::Front`].
    front: u64,
    /// Highest fencing token seen.
    fence: Term,
    /// Highest release number seen.
    release: u64,
    /// Generation in use.
    active: Generation,
    /// Generation to activate between the next two steps.
    pending: Option<Generation>,
    /// Build to restart into.
    restart_build: Option<u64>,
    /// Retained texts, by generation number.
    texts: BTreeMap<u64, Text>,
}

impl StagedConfig {
    /// Creates the state of a front that starts with the given generation.
    pub fn new(front: u64, active: Generation) -> StagedConfig {
        let text = Text { digest: active.digest, checked: true, sessions: 0 };
        let texts = BTreeMap::from([(active.number, text)]);
        StagedConfig {
            front,
            fence: Term::default(),
            release: 0,
            active,
            pending: None,
            restart_build: None,
            texts,
        }
    }

    /// Follows an order of a driver.
    ///
    /// # Errors
    /// Reason why the order is not followed; it then has no effect.
    pub fn handle_order(&mut self, fenced: FencedOrder) -> Result<(), OrderError> {
        // An earlier driver that was suspended must not undo what a later one did.
        if fenced.fence < self.fence {
            return Err(OrderError::StaleFence(self.fence));
        }
        if fenced.release < self.release {
            return Err(OrderError::StaleRelease(self.release));
        }
        match fenced.order {
            Order::Stage(generation) => self.stage(generation)?,
            Order::Activate(generation) => self.prepare_activation(generation)?,
            Order::Restart { build_id } => self.restart_build = Some(build_id),
            Order::Hold => (self.restart_build, self.pending) = (None, None),
        }
        (self.fence, self.release) = (fenced.fence, fenced.release);
        Ok(())
    }

    fn stage(&mut self, generation: Generation) -> Result<(), OrderError> {
        if let Some(text) = self.texts.get(&generation.number) {
            return if text.digest == generation.digest { Ok(()) } else { Err(OrderError::StaleGeneration) };
        }
        if generation.number < self.active.number {
            return Err(OrderError::StaleGeneration);
        }
        self.drop_unused();
        if self.texts.len() >= MAX_GENERATIONS {
            return Err(OrderError::TooManyGenerations);
        }
        self.texts.insert(generation.number, Text { digest: generation.digest, ..Text::default() });
        Ok(())
    }

    fn prepare_activation(&mut self, generation: Generation) -> Result<(), OrderError> {
        if generation == self.active {
            return Ok(());
        }
        if generation.number <= self.active.number {
            return Err(OrderError::StaleGeneration);
        }
        if !self.texts.get(&generation.number).is_some_and(|t| t.checked && t.digest == generation.digest) {
            return Err(OrderError::NotStaged);
        }
        self.pending = Some(generation);
        Ok(())
    }

    /// Drops texts that cannot be used any more.
    fn drop_unused(&mut self) {
        let (active, pending) = (self.active.number, self.pending.map(|g| g.number));
        self.texts.retain(|n, t| *n >= active || t.sessions > 0 || Some(*n) == pending);
        // Of the texts that are staged but not pending, only the newest is retained.
        let newest = self.texts.keys().next_back().copied();
        self.texts.retain(|n, t| *n <= active || t.sessions > 0 || Some(*n) == pending || Some(*n) == newest);
    }

    /// First generation whose text is to be staged and has not been fetched and checked.
    pub fn missing_text(&self) -> Option<Generation> {
        let text = self.texts.iter().find(|(_, t)| !t.checked);
        text.map(|(number, t)| Generation { number: *number, digest: t.digest })
    }

    /// Handles a fetched text: `digest` was computed here, and `valid` is true if the text can be parsed and
    /// passes all checks. Returns whether the generation is staged and checked.
    pub fn receive_text(&mut self, number: u64, digest: u64, valid: bool) -> bool {
        let Some(text) = self.texts.get_mut(&number) else { return false };
        text.checked |= valid && text.digest == digest;
        text.checked
    }

    /// Activates the pending generation, if any. Call this between two steps only.
    pub fn activate_pending(&mut self) -> Option<Generation> {
        let activated = self.pending.take()?;
        self.active = activated;
        self.drop_unused();
        Some(activated)
    }

    /// Generation in use for new requests.
    pub fn active(&self) -> Generation {
        self.active
    }

    /// Counts a new session, which keeps the active generation until it ends. Returns `None` if the count
    /// would overflow.
    pub fn start_session(&mut self) -> Option<Generation> {
        let text = self.texts.get_mut(&self.active.number)?;
        text.sessions = text.sessions.checked_add(1)?;
        Some(self.active)
    }

    /// Counts the end of a session that started with the generation of that number.
    pub fn end_session(&mut self, number: u64) {
        if let Some(text) = self.texts.get_mut(&number) {
            text.sessions = text.sessions.saturating_sub(1);
        }
        self.drop_unused();
    }

    /// Returns whether the checked text of the generation is retained.
    pub fn has_text(&self, generation: Generation) -> bool {
        self.texts.get(&generation.number).is_some_and(|t| t.digest == generation.digest && t.checked)
    }

    /// Brings a front that was away up to the active generation of the fleet: stages it, and activates it
    /// once it is checked.
    ///
    /// # Errors
    /// Same as [`StagedConfig::handle_order`].
    pub fn catch_up(&mut self, fence: Term, release: u64, active: Generation) -> Result<(), OrderError> {
        if active.number <= self.active.number && fence <= self.fence {
            return Ok(());
        }
        self.handle_order(FencedOrder { fence, release, order: Order::Stage(active) })?;
        match self.handle_order(FencedOrder { fence, release, order: Order::Activate(active) }) {
            Err(OrderError::NotStaged) => Ok(()),
            other => other,
        }
    }

    /// Records the release in the register, so that orders of earlier drivers are refused. A front that
    /// starts must do this before it follows any order.
    pub fn observe_release(&mut self, record: &ReleaseRecord) {
        self.fence = self.fence.max(record.fence);
        self.release = self.release.max(record.number);
    }

    /// Build to restart into once the front has a permit.
    pub fn pending_restart(&self) -> Option<u64> {
        self.restart_build
    }

    /// Newest generation that is staged and checked.
    pub fn newest_staged(&self) -> Generation {
        let newest = self.texts.iter().rev().find(|(_, t)| t.checked);
        newest.map_or(self.active, |(number, t)| Generation { number: *number, digest: t.digest })
    }

    /// Highest fencing token seen.
    pub fn fence(&self) -> Term {
        self.fence
    }

    /// Checks the invariants of the front's texts.
    ///
    /// # Errors
    /// The first invariant that does not hold.
    pub fn check_invariants(&self) -> Result<(), InvariantViolation> {
        let is = |good, what| ensure(good, "staged config", self.front, what);
        is(self.texts.len() <= MAX_GENERATIONS, "no more generations than the maximum")?;
        is(self.has_text(self.active), "the text of the active generation is retained and checked")?;
        is(
            self.pending.is_none_or(|g| self.has_text(g) && g.number > self.active.number),
            "the pending generation is checked and newer than the active one",
        )
    }
}
