//! What was foretold and what came. A forecast that was wrong makes the next spread wider and the next waves
//! smaller.

use crate::{Came, Foretold, Likely};
use std::collections::VecDeque;

/// Comparisons kept.
pub const MOST_KEPT: usize = 256;
/// The spread is never made wider than this; wider ones say nothing.
pub const WIDEST: f64 = 8.0;
/// How much of the widening is left after a wave that came as foretold.
const CALMS: f64 = 0.9;
/// One wave widens by no more than this factor.
const AT_ONCE: f64 = 3.0;
/// One link in ten lies outside by chance, and links are not independent: past this part of them it is none.
const MOST_OUTSIDE: f64 = 0.3;
/// Worth refused outside its spread by less than this, of all that was asked, halts nothing.
const NO_MATTER: f64 = 0.005;

/// What a wave's comparison says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Said {
    /// It came as foretold.
    AsForetold,
    /// It was wrong by more than its spread: the release halts.
    Wrong,
}

/// One wave: foretold against came.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Compared {
    /// The layout.
    pub generation: u64,
    /// Links and uplinks compared.
    pub figures: usize,
    /// Of them, outside their spread.
    pub outside: usize,
    /// Nine in ten of them were off by less than this, in parts of their spread.
    pub off: f64,
    /// Worth refused: foretold...
    pub refused: Likely,
    /// ...and as it came.
    pub came: f64,
    /// What it says.
    pub said: Said,
}

/// A broken invariant of a record.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum BrokenRecord {
    /// More kept than the bound.
    #[error("the record keeps more than its bound")]
    Bound,
    /// A spread below what the days say, or past the widest.
    #[error("the spread is {0}")]
    Spread(f64),
    /// The last wave was wrong and it did not grow.
    #[error("the last wave was off by {0} and the spread is {1}")]
    Unlearnt(f64, f64),
}

/// What was foretold and what came, wave by wave.
#[derive(Clone, Debug)]
pub struct Record {
    kept: VecDeque<Compared>,
    spread: f64,
    halted: bool,
}

impl Default for Record {
    fn default() -> Self {
        Record { kept: VecDeque::new(), spread: 1.0, halted: false }
    }
}

impl Record {
    /// How much wider figures are to be made than the days say.
    pub fn spread(&self) -> f64 {
        self.spread
    }

    /// Whether the release halts: the last wave was wrong, and nobody said to go on.
    pub fn halts(&self) -> bool {
        self.halted
    }

    /// Somebody looked at it, or a new verdict was made with the wider spread.
    pub fn go_on(&mut self) {
        self.halted = false;
    }

    /// Servers of one wave at the most, of so many that change.
    pub fn most_a_wave(&self, servers: usize) -> usize {
        ((servers as f64 / self.spread) as usize).max(1)
    }

    /// What was compared, the oldest first.
    pub fn kept(&self) -> impl Iterator<Item = &Compared> {
        self.kept.iter()
    }

    /// A wave is over. `foretold` as it was told, with the spread of then.
    pub fn add(&mut self, generation: u64, foretold: &Foretold, came: &Came) -> Said {
        let links = foretold.links.iter().filter_map(|(id, l)| Some(l.off(*came.links.get(id)?)));
        let uplinks = foretold.uplinks.iter().filter_map(|(id, l)| Some(l.off(*came.uplinks.get(id)?)));
        let mut off: Vec<f64> = links.chain(uplinks).filter(|x| x.is_finite()).collect();
        off.sort_by(f64::total_cmp);
        let outside = off.iter().filter(|x| **x > 1.0).count();
        let tenth = off.get((off.len() * 9).div_ceil(10).saturating_sub(1)).copied().unwrap_or(0.0);
        let part = came.refused_part();
        let beyond = (part - foretold.refused.high).max(foretold.refused.low - part);
        let refused_off = if beyond > NO_MATTER { foretold.refused.off(part) } else { 0.0 };
        let wrong = refused_off > 1.0 || outside as f64 > MOST_OUTSIDE * off.len() as f64;
        let said = if wrong { Said::Wrong } else { Said::AsForetold };
        let worst = tenth.max(refused_off);
        self.spread = if worst > 1.0 || wrong {
            (self.spread * worst.clamp(1.1, AT_ONCE)).min(WIDEST)
        } else {
            (self.spread * CALMS).max(1.0)
        };
        self.halted |= wrong;
        self.kept.push_back(Compared {
            generation,
            figures: off.len(),
            outside,
            off: worst,
            refused: foretold.refused,
            came: part,
            said,
        });
        if self.kept.len() > MOST_KEPT {
            self.kept.pop_front();
        }
        said
    }

    /// Its invariants. `before`: the spread before the last [`Record::add`].
    pub fn check(&self, before: f64) -> Result<(), BrokenRecord> {
        if self.kept.len() > MOST_KEPT {
            return Err(BrokenRecord::Bound);
        }
        if !(1.0..=WIDEST).contains(&self.spread) {
            return Err(BrokenRecord::Spread(self.spread));
        }
        let Some(last) = self.kept.back() else { return Ok(()) };
        if last.off > 1.0 && self.spread <= before && self.spread < WIDEST {
            return Err(BrokenRecord::Unlearnt(last.off, self.spread));
        }
        Ok(())
    }
}
