//! Parameters of the link monitor, and the times by which it detects that a server's machine is gone.

use super::UNREACHABLE_TIMEOUT;
use std::time::Duration;

/// Time after a server's last message within which the viewers of its sessions are notified if its machine is gone; the
/// platform's limit on releases.
const NOTIFICATION_LIMIT: Duration = Duration::from_secs(8);
/// Part of [`NOTIFICATION_LIMIT`] for intervals between polls, back-off and scheduling.
const DETECTION_RESERVE: Duration = Duration::from_millis(500);
/// Time by which a server's message may be late before the server is probed.
const REPORT_SLACK: Duration = Duration::from_secs(1);
/// Maximum time for a probe's link to be established, so that [`NOTIFICATION_LIMIT`] holds for any connect time-out.
const MAX_PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Parameters of a [`LinkMonitor`].
#[derive(Clone, Copy, Debug)]
pub struct LinkMonitorConfig {
    /// Longest time between two messages of a server with established sessions; zero if it need not send any.
    pub report_interval: Duration,
    /// Time after which servers close idle links; zero if unknown, and then no link carries a second set-up.
    pub idle_close: Duration,
    /// Time after which a link that is being opened for a set-up counts as failed.
    pub connect_timeout: Duration,
    /// Maximum number of idle links, over all servers.
    pub max_idle: usize,
}

impl LinkMonitorConfig {
    /// Time after which a link that is being opened to probe a server counts as failed.
    pub(super) fn probe_timeout(&self) -> Duration {
        self.connect_timeout.min(MAX_PROBE_TIMEOUT)
    }

    /// Time without a message after which a server with sessions is probed: late enough for a report that is due to
    /// arrive, and early enough for the viewers to be notified in time if the machine is gone.
    pub(super) fn max_silence(&self) -> Duration {
        let detection_time = self.probe_timeout() + UNREACHABLE_TIMEOUT + DETECTION_RESERVE;
        let latest = NOTIFICATION_LIMIT - detection_time;
        if self.report_interval.is_zero() {
            latest
        } else {
            latest.min(self.report_interval + REPORT_SLACK)
        }
    }
}
