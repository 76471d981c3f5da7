//! Numbers in the settings, one type for each range of values. A number out of range is rejected when it is parsed.

use super::duration_from_ms;
use serde::de::Error;
use serde::{Deserialize, Deserializer};
use std::time::Duration;

/// Upper bound of all numbers in the settings; keeps results finite and durations representable.
const MAX_NUMBER: f64 = 1e12;

fn deserialize_in_range<'de, D: Deserializer<'de>>(
    d: D,
    allowed: &str,
    in_range: impl Fn(f64) -> bool,
) -> Result<f64, D::Error> {
    let value = f64::deserialize(d)?;
    if value <= MAX_NUMBER && in_range(value) {
        Ok(value)
    } else {
        Err(D::Error::custom(format_args!("{value} is not {allowed}")))
    }
}

/// Number from 0.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct NonNegative(pub(super) f64);

impl<'de> Deserialize<'de> for NonNegative {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        deserialize_in_range(d, "0 to 1e12", |v| v >= 0.0).map(NonNegative)
    }
}

/// Number above 0, for divisors.
#[derive(Clone, Copy, Debug)]
pub(super) struct Positive(pub(super) f64);

impl<'de> Deserialize<'de> for Positive {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        deserialize_in_range(d, "above 0 and at most 1e12", |v| v > 0.0).map(Positive)
    }
}

/// Fraction from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Fraction(pub(super) f64);

impl<'de> Deserialize<'de> for Fraction {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        deserialize_in_range(d, "0 to 1", |v| (0.0..=1.0).contains(&v)).map(Fraction)
    }
}

/// Whole number from 0, written with or without a decimal point.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Whole(pub(super) usize);

impl<'de> Deserialize<'de> for Whole {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        deserialize_in_range(d, "a whole number from 0 to 1e12", |v| v >= 0.0 && v.fract() == 0.0)
            .map(|v| Whole(v as usize))
    }
}

/// Duration, written in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Millis(pub(super) Duration);

impl<'de> Deserialize<'de> for Millis {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        deserialize_in_range(d, "0 to 1e12 ms", |v| v >= 0.0).map(|v| Millis(duration_from_ms(v)))
    }
}
