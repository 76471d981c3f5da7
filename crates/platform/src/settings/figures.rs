//! Figures of the settings, each read as what it stands for: one that can't be used is refused where it is read, and
//! none is taken for another.

use super::duration_from_ms;
use serde::de::Error;
use serde::{Deserialize, Deserializer};
use std::time::Duration;

/// No figure of the platform's is over this; what is reckoned with them stays a number, and a time.
const MOST: f64 = 1e12;

fn within<'de, D: Deserializer<'de>>(
    d: D,
    allowed: &str,
    fits: impl Fn(f64) -> bool,
) -> Result<f64, D::Error> {
    let v = f64::deserialize(d)?;
    if v <= MOST && fits(v) {
        Ok(v)
    } else {
        Err(D::Error::custom(format_args!("{v} is not {allowed}")))
    }
}

/// A figure that is not negative.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Figure(pub(super) f64);

impl<'de> Deserialize<'de> for Figure {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        within(d, "0 to 1e12", |v| v >= 0.0).map(Figure)
    }
}

/// A figure that others are divided by.
#[derive(Clone, Copy, Debug)]
pub(super) struct Positive(pub(super) f64);

impl<'de> Deserialize<'de> for Positive {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        within(d, "over 0 and up to 1e12", |v| v > 0.0).map(Positive)
    }
}

/// A part of a whole.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Part(pub(super) f64);

impl<'de> Deserialize<'de> for Part {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        within(d, "0 to 1", |v| (0.0..=1.0).contains(&v)).map(Part)
    }
}

/// A whole number, written with or without a point.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Whole(pub(super) usize);

impl<'de> Deserialize<'de> for Whole {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        within(d, "a whole number from 0 to 1e12", |v| v >= 0.0 && v.fract() == 0.0)
            .map(|v| Whole(v as usize))
    }
}

/// A time in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Millis(pub(super) Duration);

impl<'de> Deserialize<'de> for Millis {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        within(d, "0 to 1e12 ms", |v| v >= 0.0).map(|v| Millis(duration_from_ms(v)))
    }
}
