//! Reasons for which hints are dropped, and their counts.

use std::fmt;

/// Reason for which a hint was dropped. The `Display` text is a metrics label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// Neither a key of the standard nor a custom key with a hyphenated prefix (CTA-5004, section 3.2).
    UnknownKey,
    /// A key in a header of another group.
    WrongGroup,
    /// The value does not have the type of the key.
    WrongType,
    /// The value is outside the range of the key.
    OutOfRange,
    /// The text is longer than allowed for its key.
    TooLong,
    /// Repeated key; the first occurrence is used.
    Duplicate,
    /// Not `key` or `key=value`.
    Malformed,
    /// Over the limit on custom keys, members, report lines or bytes.
    LimitExceeded,
}

impl Fault {
    /// All reasons, in the order of [`Faults`]' counts.
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

/// Counts of dropped hints by reason. Each count saturates at `u16::MAX`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    counts: [u16; Fault::ALL.len()],
}

impl Faults {
    /// Counts one dropped hint.
    pub fn add(&mut self, fault: Fault) {
        let count = &mut self.counts[fault as usize];
        *count = count.saturating_add(1);
    }

    /// Number of hints dropped for this reason.
    pub fn count(&self, fault: Fault) -> u16 {
        self.counts[fault as usize]
    }

    /// Number of hints dropped for any reason.
    pub fn total(&self) -> u32 {
        self.counts.iter().map(|n| u32::from(*n)).sum()
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut first = true;
        for fault in Fault::ALL.into_iter().filter(|f| self.count(*f) > 0) {
            let separator = if std::mem::take(&mut first) { "" } else { ", " };
            write!(f, "{separator}{fault} {}", self.count(fault))?;
        }
        Ok(())
    }
}
