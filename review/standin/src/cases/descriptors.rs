//! Hundreds of clients connect and say nothing, while the session manager has sessions at many video servers.

use crate::channel::{endpoint, event, Channel};
use crate::node::{Node, NodeConfig};
use crate::record::Record;
use crate::server::Server;
use crate::viewer::{answer, Seen, Setup, Viewer, What};
use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;

const TOLD_EVERY_MS: u64 = 2_500;
/// The lowest limit that the pages name.
const SOCKETS: u32 = 256;
const SERVERS: usize = 150;
const SILENT_CLIENTS: usize = 200;
/// Viewers' connections in use before; with those that come they are far from a third of the descriptors.
const VIEWERS: usize = 10;
/// As in the page's example of a set-up.
const WAIT_MS: u64 = 1_500;
/// Later than half a second after its time a request is lost; and the 50 ms of the page.
const LOST_AFTER: f64 = WAIT_MS as f64 / 1e3 + 0.5 + 0.05;

pub fn play(record: &Record, trouble: bool) -> Vec<String> {
    let told_every = Duration::from_millis(TOLD_EVERY_MS);
    let servers: Vec<_> =
        (0..SERVERS).map(|i| Server::start(&format!("s-{i:08x}"), told_every, record)).collect();
    let list = |(i, s): (usize, &Server)| endpoint(&s.name, s.address, i as u64, "in_service", 0);
    let first = event(1, true, &servers.iter().enumerate().map(list).collect::<Vec<_>>());
    servers.iter().for_each(|s| s.state().setup_time = Duration::from_millis(20));
    let channel = Channel::start(&first, Duration::ZERO, record);
    let config = NodeConfig {
        channel: channel.address,
        first_event: first,
        told_every_ms: TOLD_EVERY_MS,
        cells: SERVERS as u64,
        sockets: SOCKETS,
    };
    let node = Node::start(&config, record);
    let seen = Seen::default();
    let mut viewers: Vec<_> =
        (0..VIEWERS).map(|i| Viewer::connect(&format!("viewers/{i}"), node.address, &seen, record)).collect();
    let mut number = 0u64;
    let mut setup = |viewer: &mut Viewer, home: usize| {
        number += 1;
        let (sid, title) = (format!("{number:016x}"), format!("7f3a9c21e0b4{home:04x}"));
        let (sid_ref, title) = (sid.as_str(), title.as_str());
        viewer.send(&[Setup {
            sid: sid_ref,
            class: "shift-clip",
            title,
            wait_ms: WAIT_MS,
            home: home as u64,
            copies: 1,
        }]);
        sid
    };
    // A session at each video server.
    for home in 0..SERVERS {
        let sid = setup(&mut viewers[home % VIEWERS], home);
        if answer(&seen, &sid, record.now() + 4.0, record) != Some(200) {
            crate::cannot_run("a session could not be set up");
        }
    }
    record.wait_until(record.now() + 3.0);
    record.note("run", &format!("the session manager holds {} descriptors", node.descriptors()));
    if trouble {
        for _ in 0..SILENT_CLIENTS {
            let Ok(mut stream) = TcpStream::connect(node.address) else { continue };
            // It reads what it is sent, and closes when it is closed.
            std::thread::spawn(move || while stream.read(&mut [0; 512]).is_ok_and(|n| n > 0) {});
        }
        record.note("silent clients", &format!("{SILENT_CLIENTS} connected"));
    }
    record.wait_until(record.now() + 0.2);
    record.note("run", &format!("the session manager holds {} descriptors", node.descriptors()));
    let mut asked = Vec::new();
    for i in 0..5usize {
        let mut viewer = Viewer::connect(&format!("new viewer/{i}"), node.address, &seen, record);
        let sid = setup(&mut viewer, 10 * i);
        asked.push((sid, record.now(), viewer));
    }
    let late = asked.iter().map(|(_, at, _)| at + LOST_AFTER).fold(0.0, f64::max);
    record.wait_until(late + 6.0);
    record.note("run", &format!("the session manager holds {} descriptors", node.descriptors()));
    let mut broken = Vec::new();
    for (sid, at, _viewer) in &asked {
        let answered = seen.lock().unwrap().iter().find_map(|(t, s, what)| match what {
            What::Answer(status) if s == sid => Some((*t - at, *status)),
            _ => None,
        });
        match answered {
            Some((after, _)) if after <= LOST_AFTER => {}
            Some((after, status)) => {
                broken.push(format!("request {sid} was answered {status} after {after:.3} s"))
            }
            None => broken.push(format!("request {sid} was not answered within {:.1} s", LOST_AFTER + 6.0)),
        }
    }
    node.end();
    broken
}
