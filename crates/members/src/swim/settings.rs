//! How the view is kept.

use crate::seal::{MAX_DATAGRAM_BYTES, OVERHEAD};
use foca::{Config, PeriodicParams};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// What the word's own form adds to the library's bytes.
const WORD: usize = 8;

/// How the view is kept.
#[derive(Clone, Debug)]
pub struct SwimConfig {
    /// A member drawn at random is probed so often.
    pub probe_interval: Duration,
    /// Others are asked to probe it when it has not answered within this; under half of `probe`.
    pub probe_timeout: Duration,
    /// Others that are asked.
    pub indirect_probes: usize,
    /// A member in doubt may object for so long.
    pub suspicion_timeout: Duration,
    /// News go to `fanout` members so often.
    pub gossip_interval: Duration,
    /// See `gossip`.
    pub gossip_fanout: usize,
    /// How often one piece of news is passed on.
    pub max_transmissions: u8,
    /// Members that are gone are called on so often: how a split heals.
    pub rejoin_interval: Duration,
    /// One that is gone is forgotten after this.
    pub forget_after: Duration,
    /// Addresses where members are, of which nothing else is known.
    pub seeds: Vec<SocketAddr>,
}

impl Default for SwimConfig {
    fn default() -> Self {
        let ms = Duration::from_millis;
        SwimConfig {
            probe_interval: ms(500),
            probe_timeout: ms(150),
            indirect_probes: 4,
            suspicion_timeout: ms(3_000),
            gossip_interval: ms(200),
            gossip_fanout: 3,
            max_transmissions: 10,
            rejoin_interval: ms(2_000),
            forget_after: Duration::from_secs(3_600),
            seeds: Vec::new(),
        }
    }
}

fn some(n: usize) -> NonZeroUsize {
    NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN)
}

pub(super) fn config(set: &SwimConfig) -> Config {
    Config {
        probe_period: set.probe_interval,
        probe_rtt: set.probe_timeout.min(set.probe_interval / 2),
        num_indirect_probes: some(set.indirect_probes),
        max_transmissions: NonZeroU8::new(set.max_transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: set.suspicion_timeout,
        remove_down_after: Some(set.forget_after),
        max_packet_size: some(MAX_DATAGRAM_BYTES - OVERHEAD - WORD),
        notify_down_members: true,
        periodic_announce: Some(PeriodicParams { frequency: set.rejoin_interval * 5, num_members: some(1) }),
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: set.rejoin_interval,
            num_members: some(2),
        }),
        periodic_gossip: Some(PeriodicParams {
            frequency: set.gossip_interval,
            num_members: some(set.gossip_fanout),
        }),
    }
}
