//! A stand-in for the command channel: server-sent events over HTTP, as in PROTOCOL.md.

use crate::record::{sleep, wait_for, Record};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub struct Channel {
    pub address: SocketAddr,
    record: Record,
    /// Events by number, from 1.
    events: Mutex<Vec<String>>,
    comments: AtomicUsize,
}

impl Channel {
    pub fn start(record: &Record, first: String) -> Arc<Channel> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let channel = Arc::new(Channel {
            address,
            record: record.clone(),
            events: Mutex::new(vec![first]),
            comments: AtomicUsize::new(0),
        });
        let accepting = channel.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let channel = accepting.clone();
                std::thread::spawn(move || channel.serve(stream));
            }
        });
        channel
    }

    /// Tells an event with these entries; returns its time.
    pub fn tell(&self, entries: &str) -> f64 {
        let mut events = self.events.lock().unwrap();
        let number = events.len() + 1;
        events.push(event(number, false, entries));
        let now = self.record.now();
        self.record.line("channel", format!("event {number} is in the channel: {}", events[number - 1]));
        now
    }

    /// Waits until a comment has just been written.
    pub fn wait_comment(&self) {
        let before = self.comments.load(SeqCst);
        wait_for(2.0, || self.comments.load(SeqCst) > before);
        sleep(0.01);
    }

    /// The value of `known` in a configuration that is written now.
    pub fn known(&self) -> String {
        let events = self.events.lock().unwrap();
        format!("{{\"cursor\":{},\"cmds\":[{}]}}", events.len(), events.join(","))
    }

    fn serve(&self, mut stream: TcpStream) {
        let (mut head, mut chunk) = (Vec::new(), [0; 2048]);
        while !head.windows(4).any(|w| w == b"\r\n\r\n") {
            match stream.read(&mut chunk) {
                Ok(n) if n > 0 => head.extend_from_slice(&chunk[..n]),
                _ => return,
            }
        }
        let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
        let from = head.lines().find_map(|l| l.strip_prefix("last-event-id:"));
        let mut sent: usize = from.and_then(|n| n.trim().parse().ok()).unwrap_or(0);
        self.record.line("channel", format!("called from event {sent} on"));
        let answer =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n: hello\n\n";
        let mut comment_at = Instant::now() + Duration::from_secs(1);
        let mut out = answer.to_owned();
        loop {
            let events = self.events.lock().unwrap().clone();
            for (i, event) in events.iter().enumerate().skip(sent) {
                out += &format!("id: {}\ndata: {event}\n\n", i + 1);
            }
            sent = events.len();
            if Instant::now() >= comment_at {
                comment_at += Duration::from_secs(1);
                out += ": still there\n\n";
                self.comments.fetch_add(1, SeqCst);
            }
            if stream.write_all(out.as_bytes()).is_err() {
                return;
            }
            out.clear();
            sleep(0.002);
        }
    }
}

/// One event of the list of video servers.
pub fn event(number: usize, snapshot: bool, entries: &str) -> String {
    format!("{{\"cursor\":{number},\"nodes\":{{\"index\":{number},\"snapshot\":{snapshot},\"endpoints\":[{entries}]}}}}")
}

/// One entry of an event.
pub fn entry(name: &str, address: SocketAddr, cell: usize, status: &str, since_ms: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"address\":\"{address}\",\"zone\":\"hal-a\",\"type\":\"small-2c\",\"group\":{cell},\
         \"status\":\"{status}\",\"weight\":1,\"since_ms\":{since_ms}}}"
    )
}
