//! Instants as later lives of a front can read them.

use cloverhollow_net::{time_since_boot, unix_ms};
use cloverhollow_recovery::{BootId, Timestamp};

/// The instant as later lives can read it.
pub(crate) fn stamp() -> Timestamp {
    Timestamp { boot_ms: time_since_boot().as_millis() as u64, wall_ms: unix_ms() }
}

/// This boot of the machine; where it cannot be told, one that no other start will take for its own.
pub(crate) fn boot() -> BootId {
    let text = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
    let digits: String = text.chars().filter(char::is_ascii_hexdigit).collect();
    BootId(u128::from_str_radix(&digits, 16).unwrap_or_else(|_| fastrand::u128(1..)))
}
