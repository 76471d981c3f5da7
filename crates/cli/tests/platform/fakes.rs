//! Fake video server and fake command channel. They send only what a test tells them to send.

use super::*;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;

/// Listener of a fake video server. Connections wait in the accept queue until the test takes them.
pub struct Server(TcpListener);

impl Server {
    pub fn new() -> Server {
        Server(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// Another process at the address of a server that has ended.
    pub fn at(address: SocketAddr) -> Server {
        Server(TcpListener::bind(address).unwrap())
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    /// Waits for the next connection.
    pub fn accept(&self) -> ServerConnection {
        wait_for("a connection to the server", || self.try_accept())
    }

    /// Returns a connection if one is in the accept queue.
    pub fn try_accept(&self) -> Option<ServerConnection> {
        self.0.set_nonblocking(true).unwrap();
        let accepted = self.0.accept();
        self.0.set_nonblocking(false).unwrap();
        let stream = with_read_timeout(accepted.ok()?.0);
        stream.set_nonblocking(false).unwrap();
        Some(ServerConnection { lines: BufReader::new(stream.try_clone().unwrap()), stream })
    }
}

/// Connection from a session manager, seen from the video server.
pub struct ServerConnection {
    pub stream: TcpStream,
    lines: BufReader<TcpStream>,
}

impl ServerConnection {
    /// Waits for the next line; `None` if the connection was closed.
    pub fn read_line(&mut self) -> Option<Value> {
        let mut line = String::new();
        match self.lines.read_line(&mut line) {
            Ok(n) if n > 0 => Some(serde_json::from_str(&line).unwrap()),
            Ok(_) => None,
            Err(e) if e.kind() == ErrorKind::ConnectionReset => None,
            Err(e) => panic!("neither a line nor a close: {e}"),
        }
    }

    /// Returns the next line if one arrives within 100 ms; `None` if not, or if the connection was closed.
    pub fn try_read_line(&mut self) -> Option<Value> {
        self.stream.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
        let mut line = String::new();
        let read = self.lines.read_line(&mut line);
        self.stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        read.ok().filter(|n| *n > 0).map(|_| serde_json::from_str(&line).unwrap())
    }

    /// Waits for the next START and returns its tag. Other lines are skipped.
    pub fn read_start(&mut self) -> Option<String> {
        loop {
            let line = self.read_line()?;
            if line["verb"] == "START" {
                return Some(line["tag"].as_str().unwrap().to_owned());
            }
        }
    }

    /// Writes one JSON line.
    pub fn send_line(&mut self, line: &Value) {
        self.stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    /// Confirms the set-up of a session.
    pub fn send_started(&mut self, tag: &str) {
        self.send_line(&json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": "v=0 answer"}));
    }

    /// Releases a session, or refuses its set-up.
    pub fn send_finish(&mut self, tag: &str, cause: i64) {
        self.send_line(&json!({"verb": "FINISH", "tag": tag, "opts": {}, "rc": cause}));
    }
}

/// Listener of a fake command channel.
pub struct CommandChannel(TcpListener);

impl CommandChannel {
    pub fn new() -> CommandChannel {
        CommandChannel(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    /// Waits for the next subscription; returns its connection, not yet answered, and the last event id it names.
    pub fn accept(&self) -> (TcpStream, u64) {
        self.0.set_nonblocking(true).unwrap();
        let accepted = wait_for("a request at the command channel", || self.0.accept().ok());
        let mut stream = with_read_timeout(accepted.0);
        stream.set_nonblocking(false).unwrap();
        let head = read_head(&mut stream).to_lowercase();
        assert!(head.starts_with("get /cmd/next "), "{head}");
        let last = head.lines().find_map(|l| l.strip_prefix("last-event-id: ")).unwrap().parse().unwrap();
        (stream, last)
    }

    /// As [`CommandChannel::accept`], and begins the event stream.
    pub fn accept_stream(&self) -> (TcpStream, u64) {
        let (mut stream, last) = self.accept();
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n").unwrap();
        (stream, last)
    }
}

/// Writes an event to an event stream.
pub fn send_event(channel: &mut TcpStream, event: &Value) {
    channel.write_all(format!("id: {}\ndata: {event}\n\n", event["cursor"]).as_bytes()).unwrap();
}
