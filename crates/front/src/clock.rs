//! Timestamps and boot identity that a later incarnation of the front can interpret.

use cloverhollow_net::{time_since_boot, unix_ms};
use cloverhollow_recovery::{BootId, Timestamp};

/// Returns the current time since boot and wall-clock time.
pub(crate) fn current_stamp() -> Timestamp {
    Timestamp { boot_ms: time_since_boot().as_millis() as u64, wall_ms: unix_ms() }
}

/// Returns the identity of the machine's current boot.
///
/// Returns a random value if the kernel provides no identity; no other incarnation then has the same one.
pub(crate) fn current_boot() -> BootId {
    let boot_id = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
    let digits: String = boot_id.chars().filter(char::is_ascii_hexdigit).collect();
    BootId(u128::from_str_radix(&digits, 16).unwrap_or_else(|_| fastrand::u128(1..)))
}
