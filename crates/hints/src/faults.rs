//! What was wrong with hints that were dropped.

use std::fmt;

/// Why one hint was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Neither a key of the standard nor a custom key with a hyphenated prefix (CTA-5004, section 3.2).
    UnknownKey,
    /// A key in a header of another group.
    WrongGroup,
    /// The value is not of the key's type.
    WrongType,
    /// The value is out of the key's range.
    OutOfRange,
    /// A text over its longest length.
    TooLong,
    /// The key came before; the first one counts.
    Duplicate,
    /// Not `key` or `key=value`.
    Malformed,
    /// Past the bound on custom keys, members or bytes.
    LimitExceeded,
}

impl Fault {
    /// All of them, in the order of their counts.
    pub const ALL: [Fault; 8] = [
        Fault::UnknownKey,
        Fault::WrongGroup,
        Fault::WrongType,
        Fault::OutOfRange,
        Fault::TooLong,
        Fault::Duplicate,
        Fault::Malformed,
        Fault::LimitExceeded,
    ];
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Fault::UnknownKey => "unknown key",
            Fault::WrongGroup => "wrong header",
            Fault::WrongType => "wrong type",
            Fault::OutOfRange => "out of range",
            Fault::TooLong => "too long",
            Fault::Duplicate => "duplicate",
            Fault::Malformed => "malformed",
            Fault::LimitExceeded => "past a bound",
        })
    }
}

/// Counts of dropped hints, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    counts: [u16; Fault::ALL.len()],
}

impl Faults {
    /// Counts one.
    pub fn add(&mut self, fault: Fault) {
        let n = &mut self.counts[fault as usize];
        *n = n.saturating_add(1);
    }

    /// How many of that kind.
    pub fn count(&self, fault: Fault) -> u16 {
        self.counts[fault as usize]
    }

    /// How many in all.
    pub fn total(&self) -> u32 {
        self.counts.iter().map(|n| u32::from(*n)).sum()
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut first = true;
        for fault in Fault::ALL.into_iter().filter(|k| self.count(*k) > 0) {
            let comma = if std::mem::take(&mut first) { "" } else { ", " };
            write!(f, "{comma}{fault} {}", self.count(fault))?;
        }
        Ok(())
    }
}
