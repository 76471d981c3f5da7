//! Stand-ins for viewers, as the front brings them: RTSP over one connection that carries many sessions.

use crate::record::{wait_for, Record};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Default)]
pub struct Heard {
    /// Final answers: time, status, description.
    pub answers: HashMap<String, Vec<(f64, u16, String)>>,
    /// Releases: time and reason.
    pub releases: HashMap<String, Vec<(f64, String)>>,
    pub tests: usize,
    /// Time at which the connection ended.
    pub ended_at: Option<f64>,
}

impl Setup<'_> {
    fn encode(&self) -> String {
        let Setup { sid, class, title, wait_ms, route } = self;
        let body = format!("{sid}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n");
        format!(
            "SETUP rtsp://media/{title} RTSP/1.0\r\nCSeq: 1\r\nSession: {sid}\r\nX-Service: {class}\r\n\
             X-Setup-Ms: {wait_ms}\r\nX-Account: sportclub-oost\r\nX-Route: {route}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}

/// Id of the n-th session of a case.
pub fn session(n: usize) -> String {
    format!("9b1f03aa5c7e{n:04x}")
}

/// Title of the n-th session, where each has its own.
pub fn title(n: usize) -> String {
    format!("7f3a9c21e0b4{n:04x}")
}

/// One connection of viewers to a session manager.
pub struct Viewers {
    name: String,
    stream: Arc<TcpStream>,
    record: Record,
    pub heard: Arc<Mutex<Heard>>,
}

/// A set-up.
pub struct Setup<'a> {
    pub sid: &'a str,
    pub class: &'a str,
    pub title: &'a str,
    pub wait_ms: u64,
    /// Value of `X-Route`.
    pub route: &'a str,
}

impl Viewers {
    pub fn connect(record: &Record, name: &str, address: SocketAddr) -> std::io::Result<Viewers> {
        let stream = Arc::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?);
        stream.set_nodelay(true)?;
        let heard = Arc::new(Mutex::new(Heard::default()));
        let viewers = Viewers { name: name.to_owned(), stream, record: record.clone(), heard };
        let (stream, record, heard) = (viewers.stream.clone(), record.clone(), viewers.heard.clone());
        let name = name.to_owned();
        std::thread::spawn(move || read(&stream, &record, &heard, &name));
        Ok(viewers)
    }

    fn send(&self, message: &str) {
        self.record.line(&self.name, format!("sent {message:?}"));
        let _ = (&*self.stream).write_all(message.as_bytes());
    }

    pub fn setup(&self, setup: &Setup) {
        self.send(&setup.encode());
    }

    /// Sends several set-ups at once.
    pub fn setups(&self, setups: &[Setup]) {
        self.send(&setups.iter().map(Setup::encode).collect::<String>());
    }

    /// Sends a test and waits for its answer.
    pub fn test(&self, seconds: f64) -> bool {
        let before = self.heard.lock().unwrap().tests;
        self.send("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n");
        wait_for(seconds, || self.heard.lock().unwrap().tests > before)
    }

    /// The first final answer to a set-up, once there is one.
    pub fn answer(&self, sid: &str, seconds: f64) -> Option<(f64, u16)> {
        let first = || self.heard.lock().unwrap().answers.get(sid).map(|a| (a[0].0, a[0].1));
        wait_for(seconds, || first().is_some());
        first()
    }

    pub fn release(&self, sid: &str) -> Option<(f64, String)> {
        self.heard.lock().unwrap().releases.get(sid).map(|r| r[0].clone())
    }
}

fn read(mut stream: &TcpStream, record: &Record, heard: &Mutex<Heard>, name: &str) {
    let (mut buf, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
            end => {
                record.line(name, format!("connection ended: {end:?}"));
                heard.lock().unwrap().ended_at = Some(record.now());
                return;
            }
        }
        while let Some((head, body)) = take_message(&mut buf) {
            record.line(name, format!("got {head:?} {body:?}"));
            message(stream, record, heard, name, &head, body);
        }
    }
}

fn take_message(buf: &mut Vec<u8>) -> Option<(String, String)> {
    let end = buf.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let length: usize = header(&head, "Content-Length")?.parse().ok()?;
    if buf.len() < end + length {
        return None;
    }
    let body = String::from_utf8_lossy(&buf[end..end + length]).into_owned();
    buf.drain(..end + length);
    Some((head, body))
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(':')).map(str::trim)
}

fn message(
    mut stream: &TcpStream,
    record: &Record,
    heard: &Mutex<Heard>,
    name: &str,
    head: &str,
    body: String,
) {
    let (now, sid) = (record.now(), header(head, "Session").unwrap_or_default().to_owned());
    let status = head.strip_prefix("RTSP/1.0 ").and_then(|s| s.get(..3)).and_then(|s| s.parse::<u16>().ok());
    let mut heard = heard.lock().unwrap();
    match (status, header(head, "CSeq")) {
        (Some(100..=199), _) => {}
        (Some(_), Some("3")) => heard.tests += 1,
        (Some(status), Some("1")) => heard.answers.entry(sid).or_default().push((now, status, body)),
        (Some(_), _) => {}
        (None, _) if head.starts_with("TEARDOWN ") => {
            let reason = header(head, "Reason").unwrap_or_default().to_owned();
            let ok = format!("RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: {sid}\r\nContent-Length: 0\r\n\r\n");
            record.line(name, format!("answered the release of {sid} with 200"));
            let _ = stream.write_all(ok.as_bytes());
            heard.releases.entry(sid).or_default().push((now, reason));
        }
        (None, _) => {}
    }
}
