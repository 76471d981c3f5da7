//! How much a front knows after its start.

use serde::{Deserialize, Serialize};

/// How warm a front is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum KnowledgeLevel {
    /// It knows its last list at most.
    #[default]
    Cold,
    /// It asks its peers.
    Warming,
    /// It knows what a running front knows.
    Warm,
}

impl KnowledgeLevel {
    /// A word for the health answer.
    pub fn as_str(self) -> &'static str {
        match self {
            KnowledgeLevel::Cold => "cold",
            KnowledgeLevel::Warming => "warming",
            KnowledgeLevel::Warm => "warm",
        }
    }
}

/// Why it is so warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LevelReason {
    /// It has not begun to ask.
    NotStarted,
    /// It has no peers to ask.
    NoPeers,
    /// It asks.
    RequestsPending,
    /// Enough warm peers answered.
    EnoughWarmPeers,
    /// Time was up; fewer than enough warm peers answered.
    FewWarmPeers,
    /// Peers answered, all as cold as this one.
    AllPeersCold,
    /// No peer answered in time.
    NoAnswerInTime,
    /// It has listened for a whole horizon itself.
    HorizonElapsed,
}

impl LevelReason {
    /// In words.
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
