//! How the view is kept.

use crate::seal::{MOST_DATAGRAM, OVERHEAD};
use foca::{Config, PeriodicParams};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// What the word's own form adds to the library's bytes.
const WORD: usize = 8;

/// How the view is kept.
#[derive(Clone, Debug)]
pub struct SwimSettings {
    /// A member drawn at random is probed so often.
    pub probe: Duration,
    /// Others are asked to probe it when it has not answered within this; under half of `probe`.
    pub answer: Duration,
    /// Others that are asked.
    pub indirect: usize,
    /// A member in doubt may object for so long.
    pub suspicion: Duration,
    /// News go to `fanout` members so often.
    pub gossip: Duration,
    /// See `gossip`.
    pub fanout: usize,
    /// How often one piece of news is passed on.
    pub passes: u8,
    /// Members that are gone are called on so often: how a split heals.
    pub heal: Duration,
    /// One that is gone is forgotten after this.
    pub forget: Duration,
    /// Addresses where members are, of which nothing else is known.
    pub seeds: Vec<SocketAddr>,
}

impl Default for SwimSettings {
    fn default() -> Self {
        let ms = Duration::from_millis;
        SwimSettings {
            probe: ms(500),
            answer: ms(150),
            indirect: 4,
            suspicion: ms(3_000),
            gossip: ms(200),
            fanout: 3,
            passes: 10,
            heal: ms(2_000),
            forget: Duration::from_secs(3_600),
            seeds: Vec::new(),
        }
    }
}

fn some(n: usize) -> NonZeroUsize {
    NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN)
}

pub(super) fn config(set: &SwimSettings) -> Config {
    Config {
        probe_period: set.probe,
        probe_rtt: set.answer.min(set.probe / 2),
        num_indirect_probes: some(set.indirect),
        max_transmissions: NonZeroU8::new(set.passes).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: set.suspicion,
        remove_down_after: Some(set.forget),
        max_packet_size: some(MOST_DATAGRAM - OVERHEAD - WORD),
        notify_down_members: true,
        periodic_announce: Some(PeriodicParams { frequency: set.heal * 5, num_members: some(1) }),
        periodic_announce_to_down_members: Some(PeriodicParams { frequency: set.heal, num_members: some(2) }),
        periodic_gossip: Some(PeriodicParams { frequency: set.gossip, num_members: some(set.fanout) }),
    }
}
