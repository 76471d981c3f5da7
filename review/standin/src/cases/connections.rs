//! A video server has all the connections it takes; two set-ups find no connection to it.

use crate::channel::{endpoint, event, Channel};
use crate::node::{Node, NodeConfig};
use crate::record::Record;
use crate::server::Server;
use crate::viewer::{answer, Seen, Setup, Viewer, What};
use std::time::Duration;

const TOLD_EVERY_MS: u64 = 2_500;
/// Connections that the video server takes, over all session managers: two cores at the lowest `cap_per_core` of rooster-media.
const MOST_CONNECTIONS: usize = 820;
/// Seats of a title of the class `signoff-briefing`, by the settings.
const SEATS: usize = 4;
const PAID: &str = "signoff-briefing";
const PLAYING: [(&str, &str); 6] = [
    ("00000000000000a1", PAID),
    ("00000000000000a2", PAID),
    ("00000000000000a3", PAID),
    ("00000000000000a4", PAID),
    ("00000000000000a5", "shift-clip"),
    ("00000000000000a6", "audio-update"),
];

fn setup<'a>(sid: &'a str, class: &'a str) -> Setup<'a> {
    Setup { sid, class, title: "7f3a9c21e0b4d655", wait_ms: 3_000, home: 0, copies: 1 }
}

pub fn play(record: &Record, trouble: bool) -> Vec<String> {
    let told_every = Duration::from_millis(TOLD_EVERY_MS);
    let (s1, s2) =
        (Server::start("s-00000001", told_every, record), Server::start("s-00000002", told_every, record));
    s1.state().most_connections = MOST_CONNECTIONS;
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
    for (sid, class) in PLAYING {
        viewers.send(&[setup(sid, class)]);
        if answer(&seen, sid, record.now() + 4.0, record) != Some(200) {
            crate::cannot_run("a session could not be set up");
        }
    }
    let begun = record.now();
    if trouble {
        record.wait_until(begun + 0.3);
        s1.fill_by_others();
        if s1.state().has_room() {
            s1.end_others();
            crate::cannot_run("the other session managers could not open all connections in time");
        }
    }
    // Four viewers come in the same instant.
    let burst = record.now().max(begun + 2.0);
    record.wait_until(burst);
    let sids: Vec<String> = (0..4).map(|i| format!("{:016x}", 0xb0 + i)).collect();
    viewers.send(&sids.iter().map(|sid| setup(sid, "shift-clip")).collect::<Vec<_>>());
    // Later one comes, and after it some who want the title whose seats are taken.
    record.wait_until(burst + 3.0);
    viewers.send(&[setup("00000000000000c0", "shift-clip")]);
    let wanted: Vec<String> = (0..6).map(|i| format!("{:016x}", 0xd0 + i)).collect();
    for (i, sid) in wanted.iter().enumerate() {
        record.wait_until(burst + 3.7 + 0.8 * i as f64);
        viewers.send(&[setup(sid, PAID)]);
    }
    record.wait_until(burst + 9.0);
    // Not judged by itself: what was released to its viewer, while the video server plays it on.
    let mut broken = Vec::new();
    for (sid, class) in PLAYING {
        let stands = s1.state().sessions.contains_key(sid);
        let given_up = s1.state().finishes.iter().any(|(_, s)| s == sid);
        for (at, s, what) in seen.lock().unwrap().iter() {
            if let (true, What::Release(reason)) = (s == sid, what) {
                let text = format!(
                    "session {sid} ({class}) was released to its viewer at {at:.3} ({reason}); neither its viewer nor its \
                     video server had ended it; stands at the video server at the end: {stands}; released there by the \
                     session manager: {given_up}"
                );
                println!("seen: {text}");
                record.note("seen", &text);
            }
        }
    }
    // Rule 5, by what stands at the video server: set up by this session manager, and ended by nobody.
    let paid = PLAYING.iter().filter(|(_, class)| *class == PAID).map(|(sid, _)| (*sid).to_owned());
    let held = paid.chain(wanted.iter().cloned()).filter(|sid| s1.state().sessions.contains_key(sid)).count();
    record.note(
        "verdict",
        &format!("sessions of one title of {PAID} that stand at the video server: {held}, seats: {SEATS}"),
    );
    if held > SEATS {
        broken.push(format!(
            "{held} sessions of one title of {PAID} stand at the video server; there are {SEATS} seats"
        ));
    }
    // The sessions come to their end, and are released within the second.
    let rest = s1.state().sessions.keys().cloned().collect::<Vec<_>>();
    record.note("verdict", &format!("all that stands at the video server: {rest:?}"));
    let ends: Vec<_> = PLAYING.iter().filter(|(sid, _)| s1.state().sessions.contains_key(*sid)).collect();
    let ends: Vec<_> = ends.into_iter().map(|(sid, _)| (*sid, s1.end(sid))).collect();
    record.wait_until(record.now() + 1.05);
    for (sid, at) in ends {
        let released =
            seen.lock().unwrap().iter().any(|(_, s, what)| s == sid && matches!(what, What::Release(_)));
        if !released {
            broken.push(format!("session {sid}, over at {at:.3}, was not released within 1.05 s"));
        }
    }
    s1.end_others();
    node.end();
    broken
}
