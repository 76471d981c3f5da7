//! The command channel: numbered events over server-sent events.

use crate::record::Record;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Channel {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<(u64, String)>>>,
    record: Record,
    /// Time from a call to the head of its answer.
    answers_after: Duration,
    /// Out of reach: calls are refused, and open streams have ended.
    down: Arc<AtomicBool>,
}

/// An entry of the list.
pub fn endpoint(name: &str, address: SocketAddr, cell: u64, status: &str, since_ms: u64) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"hal-a","type":"small-2c","group":{cell},"status":"{status}","weight":1,"since_ms":{since_ms}}}"#
    )
}

pub fn event(cursor: u64, snapshot: bool, endpoints: &[String]) -> String {
    let list = endpoints.join(",");
    format!(
        r#"{{"cursor":{cursor},"nodes":{{"index":{cursor},"snapshot":{snapshot},"endpoints":[{list}]}}}}"#
    )
}

impl Channel {
    /// `first` is event 1, which the configuration holds too.
    pub fn start(first: &str, answers_after: Duration, record: &Record) -> Channel {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| crate::cannot_run(&e.to_string()));
        let channel = Channel {
            address: listener.local_addr().unwrap(),
            events: Arc::new(Mutex::new(vec![(1, first.to_owned())])),
            record: record.clone(),
            answers_after,
            down: Arc::default(),
        };
        let accepting = channel.clone();
        std::thread::spawn(move || accepting.accept(listener));
        channel
    }

    fn accept(&self, first: TcpListener) {
        let (mut listener, mut calls) = (Some(first), 0);
        loop {
            std::thread::sleep(Duration::from_millis(1));
            if self.down.load(Relaxed) {
                listener = None;
                continue;
            }
            listener = listener.or_else(|| TcpListener::bind(self.address).ok());
            let Some(l) = &listener else { continue };
            l.set_nonblocking(true).unwrap();
            if let Ok((stream, _)) = l.accept() {
                let (channel, n) = (self.clone(), calls);
                let _ = stream.set_nonblocking(false);
                std::thread::spawn(move || channel.serve(n, stream));
                calls += 1;
            }
        }
    }

    /// Takes the channel out of reach, or back.
    pub fn set_down(&self, down: bool) {
        self.record.note("channel", if down { "out of reach" } else { "within reach again" });
        self.down.store(down, Relaxed);
    }

    /// Adds an event; from then on it counts as told.
    pub fn tell(&self, cursor: u64, event: String) -> f64 {
        let told_at = self.record.note("channel", &format!("told: {event}"));
        self.events.lock().unwrap().push((cursor, event));
        told_at
    }

    fn serve(&self, n: usize, mut stream: TcpStream) {
        let who = format!("channel/{n}");
        let (mut last, mut line) = (0, String::new());
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        loop {
            line.clear();
            if !reader.read_line(&mut line).is_ok_and(|n| n > 0) {
                return;
            }
            let lower = line.trim().to_lowercase();
            if let Some(id) = lower.strip_prefix("last-event-id:") {
                last = id.trim().parse().unwrap_or(0);
            }
            if lower.is_empty() {
                break;
            }
        }
        self.record.note(&who, &format!("asked for what follows event {last}"));
        std::thread::sleep(self.answers_after);
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncache-control: no-store\r\n\r\n";
        let (mut result, mut commented_at) = (stream.write_all(head.as_bytes()), Instant::now());
        self.record.note(&who, "answers 200");
        while result.is_ok() && !self.down.load(Relaxed) {
            let next = self.events.lock().unwrap().iter().find(|(id, _)| *id > last).cloned();
            if let Some((id, data)) = next {
                last = id;
                result = stream.write_all(format!("id: {id}\ndata: {data}\n\n").as_bytes());
                self.record.note(&who, &format!("writes event {id}, {result:?}"));
            } else if commented_at.elapsed() >= Duration::from_secs(1) {
                commented_at = Instant::now();
                result = stream.write_all(b": \n\n");
            } else {
                std::thread::sleep(Duration::from_millis(5));
            }
        }
        self.record.note(&who, &format!("ended: {result:?}"));
    }
}
