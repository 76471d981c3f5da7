//! Level of knowledge that a front has reached since its start, and the reason for it.

use serde::{Deserialize, Serialize};

/// Level of a front's knowledge about servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum KnowledgeLevel {
    /// The front knows at most the last server list that it persisted.
    #[default]
    Cold,
    /// The front is requesting knowledge from its peers.
    Warming,
    /// The front knows as much as one that has been running for a while.
    Warm,
}

impl KnowledgeLevel {
    /// Text for health responses and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            KnowledgeLevel::Cold => "cold",
            KnowledgeLevel::Warming => "warming",
            KnowledgeLevel::Warm => "warm",
        }
    }
}

/// Reason for the current [`KnowledgeLevel`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LevelReason {
    /// The warm start has not begun.
    NotStarted,
    /// No peer addresses are known.
    NoPeers,
    /// Requests to peers are pending.
    RequestsPending,
    /// The required number of warm peers answered.
    EnoughWarmPeers,
    /// The deadline passed with at least one warm answer, but fewer than required.
    FewWarmPeers,
    /// Peers answered, but none of them was warm.
    AllPeersCold,
    /// No peer answered before the deadline.
    NoAnswerInTime,
    /// The front has collected its own observations for a whole horizon.
    HorizonElapsed,
}

impl LevelReason {
    /// Text for health responses and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            LevelReason::NotStarted => "not begun",
            LevelReason::NoPeers => "no peers to ask",
            LevelReason::RequestsPending => "asking peers",
            LevelReason::EnoughWarmPeers => "enough warm peers answered",
            LevelReason::FewWarmPeers => "fewer warm peers than wanted answered in time",
            LevelReason::AllPeersCold => "the peers that answered are cold too",
            LevelReason::NoAnswerInTime => "no peer answered in time",
            LevelReason::HorizonElapsed => "has listened for long enough itself",
        }
    }
}
