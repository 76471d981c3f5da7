//! The viewers' connection is reset under a request while a session stands that was set up on it.

use crate::channel::{endpoint, event, Channel};
use crate::node::{Node, NodeConfig};
use crate::record::Record;
use crate::server::{Reply, Server};
use crate::viewer::{answer, Seen, Setup, Viewer, What};
use std::time::Duration;

const TOLD_EVERY_MS: u64 = 2_500;
const SESSION: &str = "00000000000000a1";
/// The page's limit for a release of which none could be sent, and its 50 ms.
const RELEASED_WITHIN: f64 = 8.05;

fn setup<'a>(sid: &'a str, class: &'a str) -> Setup<'a> {
    Setup { sid, class, title: "7f3a9c21e0b4d655", wait_ms: 3_000, home: 0, copies: 2 }
}

pub fn play(record: &Record, trouble: bool) -> Vec<String> {
    let told_every = Duration::from_millis(TOLD_EVERY_MS);
    let (s1, s2) =
        (Server::start("s-00000001", told_every, record), Server::start("s-00000002", told_every, record));
    let listed =
        [&s1, &s2].map(|s| endpoint(&s.name, s.address, u64::from(s.name == s2.name), "in_service", 0));
    let first = event(1, true, &listed);
    let channel = Channel::start(&first, Duration::ZERO, record);
    let config = NodeConfig {
        channel: channel.address,
        first_event: first,
        told_every_ms: TOLD_EVERY_MS,
        cells: 12,
        sockets: 1_024,
    };
    let node = Node::start(&config, record);
    let seen = Seen::default();
    let mut viewers = Viewer::connect("viewers/1", node.address, &seen, record);
    viewers.send(&[setup(SESSION, "signoff-briefing")]);
    if answer(&seen, SESSION, record.now() + 4.0, record) != Some(200) {
        crate::cannot_run("the session could not be set up");
    }
    // From now on the sessions of other session managers fill both video servers.
    for server in [&s1, &s2] {
        server.note("is full");
        let mut state = server.state();
        (state.reply, state.setup_time) = (Reply::Full, Duration::from_millis(300));
    }
    let begun = record.now();
    record.wait_until(begun + 1.0);
    viewers.send(&[setup("00000000000000b0", "shift-clip")]);
    record.wait_until(begun + 1.1);
    if trouble {
        viewers.reset();
        viewers = Viewer::connect("viewers/2", node.address, &seen, record);
    }
    // The viewer of the request that was cut off, and others after it, ask on a connection that stays open.
    let (mut ended_at, mut answers) = (None, 0);
    for n in 0..9u32 {
        record.wait_until(begun + 1.3 + 1.5 * f64::from(n));
        if n == 2 {
            // The session comes to its end.
            ended_at = Some(
                [&s1, &s2]
                    .into_iter()
                    .find(|s| s.state().sessions.contains_key(SESSION))
                    .map(|s| s.end(SESSION)),
            );
        }
        let sid = format!("{:016x}", 0xc0 + n);
        viewers.send(&[setup(&sid, "shift-clip")]);
        answers += usize::from(answer(&seen, &sid, record.now() + 1.2, record).is_some());
    }
    let Some(Some(ended_at)) = ended_at else { crate::cannot_run("the session stood nowhere") };
    if answers < 9 {
        crate::cannot_run("the connection of the viewers did not stay in use");
    }
    record.wait_until(ended_at + RELEASED_WITHIN + 0.5);
    let released = seen
        .lock()
        .unwrap()
        .iter()
        .find_map(|(at, sid, what)| (sid == SESSION && matches!(what, What::Release(_))).then_some(*at));
    node.end();
    match released {
        Some(at) if at <= ended_at + RELEASED_WITHIN => Vec::new(),
        Some(at) => vec![format!("session {SESSION} was released {:.3} s after its end", at - ended_at)],
        None => vec![format!(
            "session {SESSION}, over at {ended_at:.3}, was never released to its viewer; the viewers' connection was open, \
             and {answers} requests on it were answered"
        )],
    }
}
