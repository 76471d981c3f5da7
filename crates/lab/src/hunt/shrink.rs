//! The smallest script that still breaks what a day broke, twice.

use super::{Broke, HuntError, Player};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::path::Path;

/// A script counts when it breaks the same thing so often...
const TWICE: usize = 2;
/// ...in so many plays at most: sockets and processes do not repeat themselves.
const PLAYS: usize = 4;
/// Most plays for one day, the last ones that confirm the result among them.
const MOST_PLAYS: usize = 80;

struct Search<'a> {
    player: &'a Player,
    what: &'a BTreeSet<Broke>,
    dir: &'a Path,
    plays: usize,
}

impl Search<'_> {
    /// Whether a day breaks one of the things, twice.
    async fn breaks(&mut self, day: &Value) -> Result<bool, HuntError> {
        let mut times = 0;
        for play in 0..PLAYS {
            if times + PLAYS - play < TWICE || self.plays >= MOST_PLAYS {
                break;
            }
            self.plays += 1;
            let broke = self.player.play(0, day, self.dir).await?.broke;
            times += usize::from(broke.iter().any(|b| self.what.contains(&b.0)));
            if times >= TWICE {
                return Ok(true);
            }
        }
        Ok(false)
    }
}

/// Shrinks a day; `None`: it does not break twice as it is.
pub(super) async fn shrink(
    player: &Player,
    day: Value,
    what: &BTreeSet<Broke>,
    dir: &Path,
) -> Result<Option<Value>, HuntError> {
    let mut search = Search { player, what, dir, plays: 0 };
    if !search.breaks(&day).await? {
        let _ = std::fs::remove_dir_all(dir);
        return Ok(None);
    }
    let mut best = day;
    loop {
        let mut smaller = None;
        for candidate in candidates(&best) {
            if search.breaks(&candidate).await? {
                smaller = Some(candidate);
                break;
            }
        }
        match smaller {
            Some(candidate) => best = candidate,
            None => break,
        }
    }
    let _ = std::fs::remove_dir_all(dir);
    Ok(Some(best))
}

/// Days that are smaller by one step, the greatest steps first.
fn candidates(day: &Value) -> Vec<Value> {
    let mut all = Vec::new();
    let troubles = day["troubles"].as_array().map(Vec::as_slice).unwrap_or_default();
    let with = |kept: Vec<Value>| {
        let mut smaller = day.clone();
        smaller["troubles"] = json!(kept);
        smaller
    };
    if troubles.len() > 3 {
        let half = troubles.len() / 2;
        all.push(with(troubles[..half].to_vec()));
        all.push(with(troubles[half..].to_vec()));
    }
    for i in 0..troubles.len() {
        let kept = troubles.iter().enumerate().filter(|(j, _)| *j != i).map(|(_, t)| t.clone());
        all.push(with(kept.collect()));
    }
    if let Some(length) = day["length_ms"].as_u64().filter(|l| *l > 3_000) {
        let mut shorter = day.clone();
        shorter["length_ms"] = json!(length * 2 / 3);
        all.push(shorter);
    }
    all
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_candidate_is_smaller_and_none_is_left_of_nothing() {
        let day = json!({"length_ms": 6_000, "troubles": [1, 2, 3, 4]});
        let all = candidates(&day);
        assert_eq!(all.len(), 2 + 4 + 1);
        for c in &all {
            let fewer = c["troubles"].as_array().unwrap().len() < 4;
            assert!(fewer || c["length_ms"].as_u64() < Some(6_000));
        }
        assert!(candidates(&json!({"length_ms": 2_000, "troubles": []})).is_empty());
    }
}
