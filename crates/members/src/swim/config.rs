//! Parameters of the SWIM protocol.

use crate::auth::{MAX_DATAGRAM_BYTES, OVERHEAD_BYTES};
use foca::{Config, PeriodicParams};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Bytes that the encoding of [`Message`](crate::Message) adds to those of the library.
const MESSAGE_OVERHEAD_BYTES: usize = 8;

/// Parameters of the SWIM protocol.
#[derive(Clone, Debug)]
pub struct SwimConfig {
    /// Interval between probes, each of one randomly chosen member.
    pub probe_interval: Duration,
    /// Time for the answer to a direct probe, after which indirect probes are sent. Below half of `probe_interval`.
    pub probe_timeout: Duration,
    /// Number of members that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// Time for which a suspect member may refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Interval between gossip rounds.
    pub gossip_interval: Duration,
    /// Number of members that receive the gossip of one round.
    pub gossip_fanout: usize,
    /// Number of times that one update is transmitted.
    pub max_transmissions: u8,
    /// Interval between announcements to members that are down and to seeds that are down or unknown. They heal
    /// network partitions.
    pub rejoin_interval: Duration,
    /// Time after which a member that is down is removed.
    pub forget_after: Duration,
    /// Addresses of members to join through.
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

/// Converts to a non-zero number; zero becomes one.
fn non_zero(n: usize) -> NonZeroUsize {
    NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN)
}

pub(super) fn foca_config(config: &SwimConfig) -> Config {
    Config {
        probe_period: config.probe_interval,
        probe_rtt: config.probe_timeout.min(config.probe_interval / 2),
        num_indirect_probes: non_zero(config.indirect_probes),
        max_transmissions: NonZeroU8::new(config.max_transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: config.suspicion_timeout,
        remove_down_after: Some(config.forget_after),
        max_packet_size: non_zero(MAX_DATAGRAM_BYTES - OVERHEAD_BYTES - MESSAGE_OVERHEAD_BYTES),
        notify_down_members: true,
        periodic_announce: Some(PeriodicParams {
            frequency: config.rejoin_interval * 5,
            num_members: non_zero(1),
        }),
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: config.rejoin_interval,
            num_members: non_zero(2),
        }),
        periodic_gossip: Some(PeriodicParams {
            frequency: config.gossip_interval,
            num_members: non_zero(config.gossip_fanout),
        }),
    }
}
