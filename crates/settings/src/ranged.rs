//! Values that know their allowed range: a settings file that leaves it fails at the line.

use serde::{de, Deserialize, Deserializer};
use std::time::Duration;

/// A whole number from `LO` to `HI`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Num<const LO: u64, const HI: u64>(u64);

impl<const LO: u64, const HI: u64> Num<LO, HI> {
    /// A default; the caller vouches that it is in range (a test reads all defaults back).
    pub(crate) const fn of(n: u64) -> Self {
        Num(n)
    }

    /// The number.
    pub fn get(self) -> u64 {
        self.0
    }

    /// The number, for counts and indices.
    pub fn count(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

/// The nearest number in range.
impl<const LO: u64, const HI: u64> From<u64> for Num<LO, HI> {
    fn from(n: u64) -> Self {
        Num(n.clamp(LO, HI))
    }
}

impl<'de, const LO: u64, const HI: u64> Deserialize<'de> for Num<LO, HI> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let n = i64::deserialize(d)?;
        match u64::try_from(n) {
            Ok(n) if (LO..=HI).contains(&n) => Ok(Num(n)),
            _ => Err(de::Error::custom(format_args!("{n} is not in {LO}..={HI}"))),
        }
    }
}

/// A span in whole milliseconds from `LO` to `HI`. Its default is the shortest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ms<const LO: u64, const HI: u64>(u64);

impl<const LO: u64, const HI: u64> Ms<LO, HI> {
    /// A default; the caller vouches that it is in range.
    pub(crate) const fn of(ms: u64) -> Self {
        Ms(ms)
    }

    /// So much later, the longest at most.
    pub fn later(self, by: Duration) -> Self {
        Ms((self.0 + by.as_millis() as u64).min(HI))
    }

    /// The span.
    pub fn get(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl<const LO: u64, const HI: u64> Default for Ms<LO, HI> {
    fn default() -> Self {
        Ms(LO)
    }
}

impl<'de, const LO: u64, const HI: u64> Deserialize<'de> for Ms<LO, HI> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let n = i64::deserialize(d)?;
        match u64::try_from(n) {
            Ok(n) if (LO..=HI).contains(&n) => Ok(Ms(n)),
            _ => Err(de::Error::custom(format_args!("{n} ms is not in {LO}..={HI} ms"))),
        }
    }
}

/// A number with decimals from `LO` to `HI` thousandths.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Real<const LO: u64, const HI: u64>(f64);

impl<const LO: u64, const HI: u64> Real<LO, HI> {
    /// A default; the caller vouches that it is in range.
    pub(crate) const fn of(n: f64) -> Self {
        Real(n)
    }

    /// The least in range.
    pub const fn least() -> Self {
        Real(LO as f64 / 1e3)
    }

    /// 1, or the nearest in range.
    pub const fn one() -> Self {
        let (lo, hi) = (LO as f64 / 1e3, HI as f64 / 1e3);
        Real(if lo > 1.0 {
            lo
        } else if hi < 1.0 {
            hi
        } else {
            1.0
        })
    }

    /// The number.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl<'de, const LO: u64, const HI: u64> Deserialize<'de> for Real<LO, HI> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let n = f64::deserialize(d)?;
        let (lo, hi) = (LO as f64 / 1e3, HI as f64 / 1e3);
        if (lo..=hi).contains(&n) {
            Ok(Real(n))
        } else {
            Err(de::Error::custom(format_args!("{n} is not in {lo}..={hi}")))
        }
    }
}

/// A name: 1 to 64 letters, digits, dots, dashes and underscores.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Name(String);

impl Name {
    pub(crate) fn of(text: &str) -> Self {
        Name(text.to_string())
    }

    /// Its text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        let fine = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_');
        if (1..=64).contains(&text.len()) && text.bytes().all(fine) {
            Ok(Name(text))
        } else {
            Err(de::Error::custom(format_args!(
                "`{text}` is no name: 1 to 64 of letters, digits, `-`, `.` and `_`"
            )))
        }
    }
}
