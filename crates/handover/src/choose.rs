//! Which fronts a session is offered to, in which order.

use crate::FrontId;
use std::collections::BTreeSet;

/// Most neighbours that one session is offered to in one wave.
pub const MOST_TRIED: usize = 4;

/// What is known of another front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Neighbour {
    /// Which.
    pub front: FrontId,
    /// Its hall.
    pub hall: u16,
    /// The view has it as there, unsuspected.
    pub there: bool,
    /// It goes out itself, by its permit or the release.
    pub going_out: bool,
    /// Sessions that it still has room for, less those that are on their way.
    pub room: u32,
}

/// What a session needs.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// It, as its player names it.
    pub sid: &'a str,
    /// Halls, the nearest neighbour first; its own only if it is named.
    pub halls: &'a [u16],
    /// Fronts that do not reach its server.
    pub no_way: &'a BTreeSet<FrontId>,
    /// Who asks.
    pub me: FrontId,
}

/// FNV-1a and a mix: places are drawn by session, the same at each front; nothing is kept secret by it.
fn draw(sid: &str, front: FrontId) -> f64 {
    let mut h = 0xcbf2_9ce4_8422_2325_u64;
    for byte in sid.bytes().chain(front.0.to_le_bytes()) {
        h = (h ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (((h ^ (h >> 31)) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
}

/// Whom to offer it to: by hall, then drawn by session in the proportion of their room (weighted rendezvous), so that
/// hundreds of sessions do not all go to the one that has the most. At most [`MOST_TRIED`].
pub fn choose(need: &Need<'_>, fronts: &[Neighbour]) -> Vec<FrontId> {
    let fits = |n: &&Neighbour| {
        n.front != need.me && n.there && !n.going_out && n.room > 0 && !need.no_way.contains(&n.front)
    };
    let mut all: Vec<(usize, f64, FrontId)> = fronts
        .iter()
        .filter(fits)
        .filter_map(|n| {
            let hall = need.halls.iter().position(|h| *h == n.hall)?;
            Some((hall, -draw(need.sid, n.front).ln() / f64::from(n.room), n.front))
        })
        .collect();
    all.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
    all.dedup_by_key(|a| a.2);
    all.into_iter().take(MOST_TRIED).map(|a| a.2).collect()
}
