//! Answers that come spoilt.

use super::sides::Say;
use bytes::Bytes;
use cloverhollow_platform::lines::{Line, MAX_LINE_BYTES};

/// An id that nobody has asked for.
const UNKNOWN: &str = "fffffffffffffffe";

/// What is written in place of an answer: the answer itself, unless its draw lies under the part that is spoilt (both in a
/// thousand).
pub(super) fn answer(answer: Line, draw: u32, part: u32) -> Vec<Say> {
    let whole = Say::Line(answer.clone());
    if draw >= part {
        return vec![whole];
    }
    let bytes = answer.encode();
    match draw % 5 {
        0 => vec![Say::Bytes(Bytes::from_static(b"\x01\x02 noise\n"))],
        1 => vec![Say::Bytes(bytes.slice(..bytes.len() / 2)), Say::Close],
        2 => vec![whole.clone(), whole],
        3 => vec![Say::Line(Line { sid: UNKNOWN.into(), ..answer }), whole],
        _ => vec![Say::Bytes(vec![b'x'; MAX_LINE_BYTES + 1].into())],
    }
}
