//! Video server that passes all received lines to the test, and functions that pause the session manager so that
//! concurrent messages from both sides are in its socket buffers before it reads either.
#![allow(dead_code)] // each test binary uses a subset

use crate::platform::{wait_for, Node, TIMEOUT};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};

/// Video server that passes each received line to the test, with the connection it came on.
pub struct LineServer {
    pub address: SocketAddr,
    pub lines: Receiver<(Value, TcpStream)>,
}

impl LineServer {
    pub fn new() -> LineServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (line_tx, lines) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming().map(Result::unwrap) {
                let (line_tx, reply_stream) = (line_tx.clone(), stream.try_clone().unwrap());
                std::thread::spawn(move || {
                    for line in BufReader::new(stream).lines().map_while(Result::ok) {
                        let _ = line_tx
                            .send((serde_json::from_str(&line).unwrap(), reply_stream.try_clone().unwrap()));
                    }
                });
            }
        });
        LineServer { address, lines }
    }

    /// Waits for the next START; returns its tag and its connection.
    pub fn read_start(&self) -> (String, TcpStream) {
        loop {
            let (line, stream) = self.lines.recv_timeout(TIMEOUT).expect("a set-up");
            if line["verb"] == "START" {
                return (line["tag"].as_str().unwrap().to_owned(), stream);
            }
        }
    }
}

/// Stops the process with SIGSTOP and waits until the kernel reports it stopped: the signal takes effect asynchronously.
pub fn pause(node: &Node) {
    node.signal(Signal::STOP);
    wait_for("the process is stopped", || {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.process.id())).unwrap();
        stat.rsplit(") ").next()?.starts_with('T').then_some(())
    });
}

/// Waits until bytes, a close or a reset from the client have reached the socket of the session manager.
pub fn wait_until_received(node: &Node, client: SocketAddr) {
    wait_for("data or a close at the session manager", || {
        // State 08 is CLOSE_WAIT.
        node.socket_columns(client).is_none_or(|r| r[3] == "08" || !r[4].ends_with(":00000000")).then_some(())
    });
}

pub fn send_line(mut server_conn: &TcpStream, line: Value) {
    server_conn.write_all(format!("{line}\n").as_bytes()).unwrap();
}

pub fn send_started(server_conn: &TcpStream, tag: &str) {
    send_line(server_conn, json!({"verb": "STARTED", "tag": tag, "opts": {}, "blob": "v=0 answer"}));
}
