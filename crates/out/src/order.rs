//! Orders of a driver to the fronts.

use crate::types::Term;
use serde::{Deserialize, Serialize};

/// Version of the text of settings or of a layout (which servers store which titles).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Generation {
    /// Increases with each new text.
    pub number: u64,
    /// Digest of the text.
    pub digest: u64,
}

/// Order of a driver to a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Order {
    /// Fetch the text and check it.
    Stage(Generation),
    /// Activate the text between two steps of the front, so that no step runs under two texts.
    #[serde(rename = "Take")]
    Activate(Generation),
    /// Request a permit and restart into the build.
    #[serde(rename = "Go")]
    Restart {
        /// Identifier of the build.
        #[serde(rename = "word")]
        build_id: u64,
    },
    /// Cancel a restart that has not begun; return to service if it has.
    Hold,
}

/// Order with the fencing token of its driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Term in which the driver took over the release.
    pub fence: Term,
    /// Number of the release.
    pub release: u64,
    /// Order itself.
    pub order: Order,
}

/// Reason why a front does not follow an order.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, thiserror::Error,
)]
pub enum OrderError {
    /// The front has seen a later driver, whose fencing token is given.
    #[error("order of an earlier driver")]
    #[serde(rename = "Fence")]
    StaleFence(Term),
    /// The front has seen a later release, whose number is given.
    #[error("order of an earlier release")]
    #[serde(rename = "Over")]
    StaleRelease(u64),
    /// The text was not staged, or has not passed its checks.
    #[error("text is not staged and checked")]
    NotStaged,
    /// All [`crate::MAX_GENERATIONS`] generations are in use.
    #[error("too many generations in use")]
    #[serde(rename = "Full")]
    TooManyGenerations,
    /// The generation is older than the active one, or is another text with a known number.
    #[error("generation is older than the active one, or differs from the text of the same number")]
    #[serde(rename = "Older")]
    StaleGeneration,
}
