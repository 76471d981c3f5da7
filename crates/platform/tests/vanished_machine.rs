//! How long it takes until the sessions at a machine that has vanished count as lost.

use cloverhollow_platform::link_monitor::{
    LinkAction, LinkEndReason, LinkId, LinkMonitor, LinkMonitorConfig,
};
use std::time::Duration;

const SERVER: u64 = 7;

fn at(ms: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(ms)
}

/// Polls a monitor whose server is silent since `at(0)` until the server's sessions end, and returns that time. Each link
/// that is opened to probe the server fails after `probe_timeout`. From `at(5_000)` on a set-up is always out on the older
/// link, and another one is always waiting for a new link that is given up before it is established.
fn time_until_sessions_end(monitor: &mut LinkMonitor, probe_timeout: u64) -> Option<u64> {
    let (mut next_id, mut probe, mut opening) = (2, None, None);
    for ms in (50..20_000).step_by(50) {
        if ms == 5_000 {
            monitor.take_for_setup(at(ms), SERVER, false);
        }
        if let Some((link, _)) = probe.take_if(|(_, opened)| *opened + probe_timeout <= ms) {
            monitor.link_down(at(ms), SERVER, link, LinkEndReason::ConnectTimeout);
        }
        if let Some(link) = opening.replace(LinkId(next_id)).filter(|_| ms > 5_000) {
            monitor.link_closing(SERVER, link);
        }
        monitor.link_opening_for_setup(SERVER, LinkId(next_id));
        next_id += 1;
        match monitor.poll(at(ms), |_| true)[..] {
            [] => {}
            [LinkAction::Open(SERVER)] => {
                monitor.link_opening(SERVER, LinkId(next_id));
                probe = Some((LinkId(next_id), ms));
                next_id += 1;
            }
            [LinkAction::EndSessions(SERVER)] => return Some(ms),
            ref other => panic!("{other:?}"),
        }
    }
    None
}

/// Guards against sessions at a vanished machine that are released after more than 8 s, or never, where reports are rare or
/// not sent at all, or set-ups are out there (review case 9).
#[test]
fn sessions_at_a_vanished_machine_end_in_time_for_any_report_interval_and_connect_timeout() {
    for report_interval in [0, 1_000, 2_400, 4_900, 8_000, 60_000].map(Duration::from_millis) {
        for connect_timeout in [50, 250, 1_000, 20_000].map(Duration::from_millis) {
            let mut monitor = LinkMonitor::new(LinkMonitorConfig {
                report_interval,
                idle_close: Duration::from_secs(15),
                connect_timeout,
                max_idle: 8,
            });
            monitor.link_opening(SERVER, LinkId(1));
            monitor.link_up(at(0), SERVER, LinkId(1));
            monitor.link_idle(at(0), SERVER, LinkId(1));
            monitor.session_established(at(0), SERVER);
            let probe_timeout = monitor.probe_timeout().as_millis() as u64;
            let ended = time_until_sessions_end(&mut monitor, probe_timeout);
            let context =
                format!("reports each {report_interval:?}, {connect_timeout:?} to connect: {ended:?}");
            assert!(ended.is_some_and(|ms| ms < 8_000), "{context}");
            let next_report = report_interval.as_millis() as u64;
            assert!(
                ended.is_some_and(|ms| ms > next_report.min(3_000)),
                "{context}: not given time to report"
            );
        }
    }
}
