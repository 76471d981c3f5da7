//! Values that know their allowed range: a settings file that leaves it fails at the line.

use serde::{de, Deserialize, Deserializer};
use std::time::Duration;

/// A whole number from `MIN` to `MAX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Int<const MIN: u64, const MAX: u64>(u64);

impl<const MIN: u64, const MAX: u64> Int<MIN, MAX> {
    /// A default; the caller vouches that it is in range (a test reads all defaults back).
    pub(crate) const fn of(n: u64) -> Self {
        Int(n)
    }

    /// The number.
    pub fn get(self) -> u64 {
        self.0
    }

    /// The number, for counts and indices.
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

/// The nearest number in range.
impl<const MIN: u64, const MAX: u64> From<u64> for Int<MIN, MAX> {
    fn from(n: u64) -> Self {
        Int(n.clamp(MIN, MAX))
    }
}

impl<'de, const MIN: u64, const MAX: u64> Deserialize<'de> for Int<MIN, MAX> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let n = i64::deserialize(d)?;
        match u64::try_from(n) {
            Ok(n) if (MIN..=MAX).contains(&n) => Ok(Int(n)),
            _ => Err(de::Error::custom(format_args!("{n} is not in {MIN}..={MAX}"))),
        }
    }
}

/// A span in whole milliseconds from `MIN` to `MAX`. Its default is the shortest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Millis<const MIN: u64, const MAX: u64>(u64);

impl<const MIN: u64, const MAX: u64> Millis<MIN, MAX> {
    /// A default; the caller vouches that it is in range.
    pub(crate) const fn of(ms: u64) -> Self {
        Millis(ms)
    }

    /// So much later, the longest at most.
    pub fn saturating_add(self, by: Duration) -> Self {
        Millis((self.0 + by.as_millis() as u64).min(MAX))
    }

    /// The span.
    pub fn get(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl<const MIN: u64, const MAX: u64> Default for Millis<MIN, MAX> {
    fn default() -> Self {
        Millis(MIN)
    }
}

impl<'de, const MIN: u64, const MAX: u64> Deserialize<'de> for Millis<MIN, MAX> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let n = i64::deserialize(d)?;
        match u64::try_from(n) {
            Ok(n) if (MIN..=MAX).contains(&n) => Ok(Millis(n)),
            _ => Err(de::Error::custom(format_args!("{n} ms is not in {MIN}..={MAX} ms"))),
        }
    }
}

/// A number with decimals from `MIN` to `MAX` thousandths.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decimal<const MIN: u64, const MAX: u64>(f64);

impl<const MIN: u64, const MAX: u64> Decimal<MIN, MAX> {
    /// A default; the caller vouches that it is in range.
    pub(crate) const fn of(n: f64) -> Self {
        Decimal(n)
    }

    /// The least in range.
    pub const fn min() -> Self {
        Decimal(MIN as f64 / 1e3)
    }

    /// 1, or the nearest in range.
    pub const fn one() -> Self {
        let (lo, hi) = (MIN as f64 / 1e3, MAX as f64 / 1e3);
        Decimal(if lo > 1.0 {
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

impl<'de, const MIN: u64, const MAX: u64> Deserialize<'de> for Decimal<MIN, MAX> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let n = f64::deserialize(d)?;
        let (lo, hi) = (MIN as f64 / 1e3, MAX as f64 / 1e3);
        if (lo..=hi).contains(&n) {
            Ok(Decimal(n))
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
