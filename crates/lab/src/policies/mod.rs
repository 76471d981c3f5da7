//! Who decides in a laboratory front: the decision module, a baseline, or the module broken on purpose in one
//! of the six ways that the rules forbid. Never part of the product.

mod broken;
mod random;

use broken::Broken;
use cloverhollow::SessionPolicy;
use cloverhollow_session::Policy;
use cloverhollow_settings::FrontSettings;
pub use random::Random;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// How late a deaf front hears.
const DEAF: Duration = Duration::from_millis(300);

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyName {
    /// The decision module.
    Brain,
    /// A random holder at the lowest rung.
    Random,
    /// The module, breaking that rule (1 to 6) on purpose.
    Broken(u8),
    /// The module, in a front of which each life is its first: all that it kept is gone when it comes back.
    Forgets,
    /// The module, in a front that hears late of viewers who leave: what they asked, and that they left.
    Deaf,
}

impl fmt::Display for PolicyName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PolicyName::Brain => f.write_str("brain"),
            PolicyName::Random => f.write_str("random"),
            PolicyName::Broken(rule) => write!(f, "broken-{rule}"),
            PolicyName::Forgets => f.write_str("forgets"),
            PolicyName::Deaf => f.write_str("deaf"),
        }
    }
}

impl FromStr for PolicyName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "brain" => Ok(PolicyName::Brain),
            "random" => Ok(PolicyName::Random),
            "forgets" => Ok(PolicyName::Forgets),
            "deaf" => Ok(PolicyName::Deaf),
            _ => {
                let rule = text.strip_prefix("broken-").and_then(|n| n.parse().ok());
                let rule = rule.filter(|n| (1..=6).contains(n));
                rule.map(PolicyName::Broken)
                    .ok_or(format!("`{text}` is none of brain, random, forgets, deaf, broken-1 to broken-6"))
            }
        }
    }
}

impl PolicyName {
    /// How much later than it is a front hears that a viewer has left.
    pub fn deaf(self) -> Duration {
        if self == PolicyName::Deaf {
            DEAF
        } else {
            Duration::ZERO
        }
    }

    /// Makes whoever decides.
    pub fn make(self, settings: &FrontSettings, seed: u64) -> Box<dyn Policy> {
        let decisions = settings.decisions();
        match self {
            PolicyName::Brain | PolicyName::Forgets | PolicyName::Deaf => {
                Box::new(SessionPolicy::new(decisions, seed))
            }
            PolicyName::Random => Box::new(Random::new(decisions, seed)),
            PolicyName::Broken(rule) => Box::new(Broken::new(rule, decisions, seed)),
        }
    }
}
