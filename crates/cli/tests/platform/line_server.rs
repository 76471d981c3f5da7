//! A video server that tells a test of all it hears, and instants that are held until both sides of a crossing are there.
#![allow(dead_code)] // each test file uses a part

use crate::platform::{until, Node, LONG};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};

/// A video server that tells of each set-up, and writes what the test says.
pub struct Wire {
    pub address: SocketAddr,
    pub lines: Receiver<(Value, TcpStream)>,
}

impl Wire {
    pub fn new() -> Wire {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (tell, lines) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().map(Result::unwrap) {
                let (tell, own) = (tell.clone(), stream.try_clone().unwrap());
                std::thread::spawn(move || {
                    for line in BufReader::new(stream).lines().map_while(Result::ok) {
                        let _ = tell.send((serde_json::from_str(&line).unwrap(), own.try_clone().unwrap()));
                    }
                });
            }
        });
        Wire { address, lines }
    }

    /// The next set-up that comes: its id, and its connection.
    pub fn start(&self) -> (String, TcpStream) {
        loop {
            let (line, stream) = self.lines.recv_timeout(LONG).expect("a set-up");
            if line["verb"] == "START" {
                return (line["tag"].as_str().unwrap().to_owned(), stream);
            }
        }
    }
}

/// Has it stand still, and waits until it does: the signal alone says only that it will.
pub fn stand_still(node: &Node) {
    node.signal(Signal::STOP);
    until("it stands still", || {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.life.id())).unwrap();
        stat.rsplit(") ").next()?.starts_with('T').then_some(())
    });
}

/// Waits until what the client has done has arrived at the other end of its connection: bytes, a close, or a reset.
pub fn arrived(node: &Node, client: SocketAddr) {
    let ends = [node.address, client].map(|a| format!(":{:04X}", a.port()));
    until("it arrives", || {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let rows = table.lines().map(|l| l.split_whitespace().collect::<Vec<_>>());
        let row = rows.into_iter().find(|r| r[1].ends_with(&ends[0]) && r[2].ends_with(&ends[1]));
        // State 08: closed by the other end. The second half of the queues: what waits to be read.
        row.is_none_or(|r| r[3] == "08" || !r[4].ends_with(":00000000")).then_some(())
    });
}

pub fn say(mut link: &TcpStream, line: Value) {
    link.write_all(format!("{line}\n").as_bytes()).unwrap();
}

pub fn started(link: &TcpStream, tag: &str) {
    say(link, json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": "v=0 answer"}));
}
