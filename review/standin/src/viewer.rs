//! Connections of viewers.

use crate::record::Record;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}
/// `SOL_SOCKET` and `SO_LINGER` of Linux.
const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

/// What a session manager sent to viewers.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A final answer.
    Answer(u16),
    /// A release, with the header `Reason`.
    Release(String),
}

/// All that was received on the connections of viewers: time, session, what.
pub type Seen = Arc<Mutex<Vec<(f64, String, What)>>>;

pub struct Viewer {
    name: String,
    stream: TcpStream,
    record: Record,
}

/// A set-up, as a viewer sends it.
pub struct Setup<'a> {
    pub sid: &'a str,
    pub class: &'a str,
    pub title: &'a str,
    pub wait_ms: u64,
    pub home: u64,
    pub copies: u64,
}

impl Setup<'_> {
    pub fn text(&self) -> String {
        let Setup { sid, class, title, wait_ms, home, copies } = self;
        let body = format!("{title}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n");
        format!(
            "SETUP rtsp://media/{title} RTSP/1.0\r\nCSeq: 1\r\nSession: {sid}\r\nX-Service: {class}\r\nX-Setup-Ms: {wait_ms}\r\n\
             X-Account: sportclub-oost\r\nX-Route: home:{home};copies:{copies};top:0;viewer:{sid}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}

impl Viewer {
    pub fn connect(name: &str, node: SocketAddr, seen: &Seen, record: &Record) -> Viewer {
        let stream = TcpStream::connect(node).unwrap_or_else(|e| crate::cannot_run(&format!("viewer: {e}")));
        record.note(name, "connected");
        let _ = stream.set_nodelay(true);
        let (reader, seen, who, log) =
            (stream.try_clone().unwrap(), seen.clone(), name.to_owned(), record.clone());
        std::thread::spawn(move || read(reader, &who, &seen, &log));
        Viewer { name: name.to_owned(), stream, record: record.clone() }
    }

    /// Sends set-ups in one write.
    pub fn send(&mut self, setups: &[Setup]) {
        let text: String = setups.iter().map(Setup::text).collect();
        for setup in setups {
            self.record.note(&self.name, &format!("sends {}", setup.text()));
        }
        if let Err(e) = self.stream.write_all(text.as_bytes()) {
            self.record.note(&self.name, &format!("cannot write: {e}"));
        }
    }

    /// Ends the connection with a TCP reset.
    pub fn reset(self) {
        let linger = [1i32, 0];
        // SAFETY: the descriptor is open, and the value has the size of `struct linger`.
        unsafe { setsockopt(self.stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
        self.record.note(&self.name, "the connection is reset");
        let _ = self.stream.shutdown(std::net::Shutdown::Read);
    }
}

/// Reads until the connection ends; each release is answered.
fn read(stream: TcpStream, who: &str, seen: &Seen, record: &Record) {
    let mut reader = BufReader::new(stream);
    loop {
        let (mut first, mut sid, mut reason, mut length) = (String::new(), String::new(), String::new(), 0);
        let mut head = String::new();
        loop {
            let mut line = String::new();
            if !reader.read_line(&mut line).is_ok_and(|n| n > 0) {
                record.note(who, "the connection has ended");
                return;
            }
            head.push_str(&line);
            let line = line.trim_end();
            if first.is_empty() {
                first = line.to_owned();
            } else if let Some(value) = line.strip_prefix("Session: ") {
                sid = value.to_owned();
            } else if let Some(value) = line.strip_prefix("Reason: ") {
                reason = value.to_owned();
            } else if let Some(value) = line.strip_prefix("Content-Length: ") {
                length = value.parse().unwrap_or(0);
            } else if line.is_empty() {
                break;
            }
        }
        let mut body = vec![0; length];
        if reader.read_exact(&mut body).is_err() {
            return;
        }
        let at = record.note(who, &format!("reads {head}{}", String::from_utf8_lossy(&body)));
        if let Some(status) = first.strip_prefix("RTSP/1.0 ") {
            let status = status.get(..3).and_then(|s| s.parse().ok()).unwrap_or(0);
            if head.contains("CSeq: 1\r\n") && status >= 200 {
                seen.lock().unwrap().push((at, sid, What::Answer(status)));
            }
        } else if first.starts_with("TEARDOWN ") {
            let heard = format!("RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: {sid}\r\nContent-Length: 0\r\n\r\n");
            let _ = reader.get_mut().write_all(heard.as_bytes());
            seen.lock().unwrap().push((at, sid, What::Release(reason)));
        }
    }
}

/// Waits for the final answer to a set-up; `None` if it does not come by that time of the run.
pub fn answer(seen: &Seen, sid: &str, until: f64, record: &Record) -> Option<u16> {
    loop {
        let found = seen.lock().unwrap().iter().find_map(|(_, s, what)| match what {
            What::Answer(status) if s == sid => Some(*status),
            _ => None,
        });
        if found.is_some() || record.now() > until {
            return found;
        }
        std::thread::sleep(std::time::Duration::from_millis(2));
    }
}
