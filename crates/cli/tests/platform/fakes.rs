//! The video server's and the command channel's ends.

use super::*;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;

/// A video server's listener. What connects waits in its queue until the test takes it.
pub struct Server(TcpListener);

impl Server {
    pub fn new() -> Server {
        Server(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    /// The next connection.
    pub fn accept(&self) -> Link {
        until("a connection to the server", || self.accept_now())
    }

    /// A connection if one waits.
    pub fn accept_now(&self) -> Option<Link> {
        self.0.set_nonblocking(true).unwrap();
        let got = self.0.accept();
        self.0.set_nonblocking(false).unwrap();
        let stream = patient(got.ok()?.0);
        stream.set_nonblocking(false).unwrap();
        Some(Link { lines: BufReader::new(stream.try_clone().unwrap()), stream })
    }
}

/// A session manager's connection, at the video server's end.
pub struct Link {
    pub stream: TcpStream,
    lines: BufReader<TcpStream>,
}

impl Link {
    /// The next line; `None`: it was closed.
    pub fn line(&mut self) -> Option<Value> {
        let mut line = String::new();
        match self.lines.read_line(&mut line) {
            Ok(n) if n > 0 => Some(serde_json::from_str(&line).unwrap()),
            Ok(_) => None,
            Err(e) if e.kind() == ErrorKind::ConnectionReset => None,
            Err(e) => panic!("no line and no close: {e}"),
        }
    }

    /// The next line if one comes soon; `None`: none does, or it was closed.
    pub fn line_now(&mut self) -> Option<Value> {
        self.stream.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
        let mut line = String::new();
        let read = self.lines.read_line(&mut line);
        self.stream.set_read_timeout(Some(LONG)).unwrap();
        read.ok().filter(|n| *n > 0).map(|_| serde_json::from_str(&line).unwrap())
    }

    /// The next set-up: its id. Lines about other things are passed over.
    pub fn start(&mut self) -> Option<String> {
        loop {
            let line = self.line()?;
            if line["verb"] == "START" {
                return Some(line["tag"].as_str().unwrap().to_owned());
            }
        }
    }

    pub fn say(&mut self, line: &Value) {
        self.stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    /// The session stands.
    pub fn started(&mut self, tag: &str) {
        self.say(&json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": "v=0 answer"}));
    }

    /// A release, or the end of a set-up.
    pub fn finish(&mut self, tag: &str, cause: i64) {
        self.say(&json!({"verb": "FINISH", "tag": tag, "opts": {}, "rc": cause}));
    }
}

/// The command channel's listener.
pub struct Channel(TcpListener);

impl Channel {
    pub fn new() -> Channel {
        Channel(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    /// The next that asks: its connection, nothing said on it yet, and the last event that it names.
    pub fn accept(&self) -> (TcpStream, u64) {
        self.0.set_nonblocking(true).unwrap();
        let accepted = until("a call to the channel", || self.0.accept().ok());
        let mut stream = patient(accepted.0);
        stream.set_nonblocking(false).unwrap();
        let head = head(&mut stream).to_lowercase();
        assert!(head.starts_with("get /cmd/next "), "{head}");
        let last = head.lines().find_map(|l| l.strip_prefix("last-event-id: ")).unwrap().parse().unwrap();
        (stream, last)
    }

    /// As [`Channel::accept`], and the stream of events begins.
    pub fn watched(&self) -> (TcpStream, u64) {
        let (mut stream, last) = self.accept();
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n").unwrap();
        (stream, last)
    }
}

/// Writes an event on a watched channel.
pub fn tell(channel: &mut TcpStream, event: &Value) {
    channel.write_all(format!("id: {}\ndata: {event}\n\n", event["cursor"]).as_bytes()).unwrap();
}
