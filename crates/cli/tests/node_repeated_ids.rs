//! Requests of `cloverhollow node` under the id of an earlier paid set-up: one that a server may have executed is not sent
//! again, to whatever server.

#[path = "platform/line_server.rs"]
mod line_server;
mod platform;

use line_server::{send_line, send_started, LineServer};
use platform::*;
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;

/// A session manager with two video servers.
struct Fixture {
    node: Node,
    _channel: CommandChannel,
    servers: [LineServer; 2],
}

impl Fixture {
    fn new(name: &str) -> Fixture {
        let (channel, servers) = (CommandChannel::new(), [LineServer::new(), LineServer::new()]);
        let addresses = servers.each_ref().map(|server| server.address);
        let node = start_node(name, &config(channel.address(), &addresses));
        Fixture { node, _channel: channel, servers }
    }

    /// Sends a paid set-up on a new connection.
    fn request(&self, id: u64) -> TcpStream {
        let mut viewer = self.node.connect();
        viewer.write_all(setup_request(id, "paid", 3_000).as_bytes()).unwrap();
        viewer
    }

    /// Waits for the next line of that kind at either server; returns its tag and its connection.
    fn next_line(&self, verb: &str) -> (String, TcpStream) {
        wait_for(verb, || {
            let received = self.servers.iter().find_map(|server| server.lines.try_recv().ok());
            let (line, server_conn) = received.filter(|(line, _)| line["verb"] == verb)?;
            Some((line["tag"].as_str().unwrap().to_owned(), server_conn))
        })
    }

    /// Checks that a request under the id fails, and that the next set-up at a server is that of another id.
    fn assert_not_sent_again(&self, id: u64, context: &str) {
        let response = read_head(&mut self.request(id));
        assert!(response.starts_with("RTSP/1.0 502 "), "{context}: {response}");
        let _other = self.request(id + 1);
        assert_eq!(self.next_line("START").0, tag(id + 1), "{context}");
    }
}

fn tag(id: u64) -> String {
    format!("{id:016x}")
}

/// Guards against a paid set-up that runs twice because its client has left and asks again under the same id.
#[test]
fn paid_set_up_that_reached_a_server_is_not_sent_again_after_its_viewer_left() {
    for (n, reset) in [false, true].into_iter().enumerate() {
        let fixture = Fixture::new(&format!("id-left-{n}"));
        let viewer = fixture.request(0x10);
        assert_eq!(fixture.next_line("START").0, tag(0x10));
        if reset {
            reset_connection(viewer);
        } else {
            drop(viewer);
        }
        assert_eq!(fixture.next_line("FINISH").0, tag(0x10), "it is given up at its server");
        fixture.assert_not_sent_again(0x10, if reset { "reset" } else { "closed" });
    }
}

/// Guards against a paid set-up that runs twice because it was taken back, had failed, or its session is over.
#[test]
fn paid_set_up_is_not_sent_again_after_a_cancel_a_failure_or_the_end_of_its_session() {
    let fixture = Fixture::new("id-ended");
    let mut viewer = fixture.request(0x20);
    assert_eq!(fixture.next_line("START").0, tag(0x20));
    viewer.write_all(teardown_request(0x20, None).as_bytes()).unwrap();
    assert_eq!(fixture.next_line("FINISH").0, tag(0x20));
    fixture.assert_not_sent_again(0x20, "cancelled");

    let mut viewer = fixture.request(0x30);
    let (_, server_conn) = fixture.next_line("START");
    send_line(&server_conn, json!({"verb": "FINISH", "tag": tag(0x30), "opts": {}, "rc": 47}));
    assert!(read_head(&mut viewer).starts_with("RTSP/1.0 502 "));
    fixture.assert_not_sent_again(0x30, "failed");

    let mut viewer = fixture.request(0x40);
    let (_, server_conn) = fixture.next_line("START");
    send_started(&server_conn, &tag(0x40));
    assert!(read_message(&mut viewer).0.starts_with("RTSP/1.0 200 "));
    send_line(&server_conn, json!({"verb": "FINISH", "tag": tag(0x40), "opts": {}, "rc": 16}));
    assert!(read_head(&mut viewer).starts_with("TEARDOWN "));
    fixture.assert_not_sent_again(0x40, "over");
}

/// A set-up that no server has executed may be asked for again under its id.
#[test]
fn paid_set_up_that_was_refused_as_full_may_be_sent_again() {
    let fixture = Fixture::new("id-full");
    let mut viewer = fixture.request(0x50);
    for _ in &fixture.servers {
        let (_, server_conn) = fixture.next_line("START");
        send_line(&server_conn, json!({"verb": "FINISH", "tag": tag(0x50), "opts": {}, "rc": 34}));
    }
    assert!(read_head(&mut viewer).starts_with("RTSP/1.0 503 "));
    let again = wait_for("a set-up that is not refused", || {
        let _viewer = fixture.request(0x50);
        std::thread::sleep(std::time::Duration::from_millis(50));
        fixture.servers.iter().find_map(|server| server.lines.try_recv().ok())
    });
    assert_eq!((&again.0["verb"], &again.0["tag"]), (&json!("START"), &json!(tag(0x50))));
}
