//! Types of values with an allowed range, which is checked when a settings file is parsed.

use serde::{de, Deserialize, Deserializer};
use std::time::Duration;

/// Whole number from `MIN` to `MAX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Int<const MIN: u64, const MAX: u64>(u64);

impl<const MIN: u64, const MAX: u64> Int<MIN, MAX> {
    /// Creates a default value. The caller must ensure that it is in range.
    pub(crate) const fn new(n: u64) -> Self {
        Int(n)
    }

    /// Value as a plain number.
    pub fn get(self) -> u64 {
        self.0
    }

    /// Value as a count or index; saturates at `usize::MAX`.
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

/// Clamps to the nearest value in range.
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

/// Duration of `MIN` to `MAX` whole milliseconds. The default is the shortest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Millis<const MIN: u64, const MAX: u64>(u64);

impl<const MIN: u64, const MAX: u64> Millis<MIN, MAX> {
    /// Creates a default value. The caller must ensure that it is in range.
    pub(crate) const fn new(ms: u64) -> Self {
        Millis(ms)
    }

    /// Adds a duration; saturates at `MAX`.
    pub fn saturating_add(self, duration: Duration) -> Self {
        Millis((self.0 + duration.as_millis() as u64).min(MAX))
    }

    /// Value as a duration.
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

/// Decimal number from `MIN` to `MAX` thousandths.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decimal<const MIN: u64, const MAX: u64>(f64);

impl<const MIN: u64, const MAX: u64> Decimal<MIN, MAX> {
    /// Creates a default value. The caller must ensure that it is in range.
    pub(crate) const fn new(n: f64) -> Self {
        Decimal(n)
    }

    /// Smallest value in range.
    pub const fn min() -> Self {
        Decimal(MIN as f64 / 1e3)
    }

    /// 1, or the nearest value in range.
    pub const fn one() -> Self {
        let (min, max) = (MIN as f64 / 1e3, MAX as f64 / 1e3);
        Decimal(if min > 1.0 {
            min
        } else if max < 1.0 {
            max
        } else {
            1.0
        })
    }

    /// Value as a plain number.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl<'de, const MIN: u64, const MAX: u64> Deserialize<'de> for Decimal<MIN, MAX> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let n = f64::deserialize(d)?;
        let (min, max) = (MIN as f64 / 1e3, MAX as f64 / 1e3);
        if (min..=max).contains(&n) {
            Ok(Decimal(n))
        } else {
            Err(de::Error::custom(format_args!("{n} is not in {min}..={max}")))
        }
    }
}

/// Name of 1 to 64 letters, digits, dots, hyphens and underscores.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Name(String);

impl Name {
    pub(crate) fn new(text: &str) -> Self {
        Name(text.to_string())
    }

    /// Name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_');
        if (1..=64).contains(&text.len()) && text.bytes().all(allowed) {
            Ok(Name(text))
        } else {
            Err(de::Error::custom(format_args!(
                "`{text}` is not a name: 1 to 64 of letters, digits, `-`, `.` and `_`"
            )))
        }
    }
}
