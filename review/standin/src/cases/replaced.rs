//! Discovery is down into the start of a release, in which a video server is replaced by one at its address.

use crate::channel::{endpoint, event, Channel};
use crate::node::{Node, NodeConfig};
use crate::record::Record;
use crate::server::Server;
use crate::viewer::{answer, Seen, Setup, Viewer, What};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const TOLD_EVERY_MS: u64 = 2_500;
const PAID: &str = "signoff-briefing";
/// Seats of a title of that class, by the settings.
const SEATS: usize = 4;
const TITLE: &str = "7f3a9c21e0b4d655";

pub fn play(record: &Record, trouble: bool) -> Vec<String> {
    let told_every = Duration::from_millis(TOLD_EVERY_MS);
    let start = |name| Server::start(name, told_every, record);
    let (s1, s2) = (start("s-00000001"), start("s-00000002"));
    let old = |status| endpoint(&s1.name, s1.address, 0, status, 0);
    let first = event(1, true, &[old("in_service"), endpoint(&s2.name, s2.address, 1, "in_service", 0)]);
    let channel = Channel::start(&first, Duration::ZERO, record);
    let config = NodeConfig {
        channel: channel.address,
        first_event: first,
        told_every_ms: TOLD_EVERY_MS,
        cells: 12,
        sockets: 1_024,
    };
    let node = Node::start(&config, record);
    let (seen, begun) = (Seen::default(), record.now());
    let mut viewers = Viewer::connect("viewers/1", node.address, &seen, record);
    let mut asked: Vec<(String, &str)> = Vec::new();
    let mut ask = |n: u32, class: &'static str, asked: &mut Vec<(String, &str)>| {
        let sid = format!("{n:016x}");
        viewers.send(&[Setup { sid: &sid, class, title: TITLE, wait_ms: 3_000, home: 0, copies: 1 }]);
        asked.push((sid, class));
    };
    ask(0xa0, "shift-clip", &mut asked);
    if answer(&seen, &asked[0].0, record.now() + 4.0, record) != Some(200) {
        crate::cannot_run("the first session could not be set up");
    }
    record.wait_until(begun + 1.3);
    if trouble {
        // Out of reach for 7.8 s; the page has 8 s.
        channel.set_down(true);
    }
    record.wait_until(begun + 4.5);
    channel.tell(2, event(2, false, &[old("terminating")]));
    record.wait_until(begun + 5.0);
    s1.end(&asked[0].0);
    record.wait_until(begun + 6.0);
    s1.replace("s-00000009");
    let started_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    channel.tell(3, event(3, false, &[old("terminated")]));
    // Viewers come from here on, first some who want no seat.
    for n in 0..14u32 {
        record.wait_until(begun + 6.3 + 0.7 * f64::from(n));
        if n == 1 {
            let new = endpoint("s-00000009", s1.address, 0, "in_service", started_ms);
            channel.tell(4, event(4, false, &[new]));
        }
        if n == 4 && trouble {
            channel.set_down(false);
        }
        ask(0xb0 + n, if n == 0 { "shift-clip" } else { PAID }, &mut asked);
    }
    record.wait_until(begun + 17.0);
    let mut broken = Vec::new();
    for (sid, class) in &asked[1..] {
        let stands = s1.state().sessions.contains_key(sid);
        let finished = s1.state().finishes.iter().find(|(_, s)| s == sid).map(|(at, _)| *at);
        for (at, s, what) in seen.lock().unwrap().iter() {
            if let (true, What::Release(reason)) = (s == sid, what) {
                broken.push(format!(
                    "session {sid} ({class}) was released to its viewer at {at:.3} ({reason}); neither its viewer nor its \
                     video server had ended it; stands at the video server at the end: {stands}; released there by the \
                     session manager at: {finished:.3?}"
                ));
            }
        }
    }
    let held =
        asked.iter().filter(|(sid, class)| *class == PAID && s1.state().sessions.contains_key(sid)).count();
    record.note("verdict", &format!("sessions of one title of {PAID} that stand: {held}, seats: {SEATS}"));
    if held > SEATS {
        broken.push(format!(
            "{held} sessions of one title of {PAID} stand at the video server; there are {SEATS} seats"
        ));
    }
    node.end();
    broken
}
