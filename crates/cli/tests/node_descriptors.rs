//! File descriptors of `cloverhollow node` under exhaustion. The limit of the operating system equals the configured one.

#[path = "platform/line_server.rs"]
mod line_server;
mod platform;

use line_server::pause;
use platform::{
    config, endpoint, event, open_descriptors, read_head, send_event, setup_request,
    start_node_with_descriptors, wait_for, CommandChannel, Server, READINESS_CHECK,
};
use rustix::process::Signal;
use std::io::Write;
use std::net::{TcpListener, TcpStream};

/// Limit on file descriptors, configured and by the operating system.
const MAX_SOCKETS: u32 = 256;

/// Idle clients, twice as many as descriptors and half of them after a request, while the command channel refuses
/// connections: viewers are served, servers are reached, the readiness check succeeds, and the channel is used again once
/// it is back.
#[test]
fn idle_clients_fill_the_descriptors_while_the_channel_is_down() {
    let (down, server) = (CommandChannel::new(), Server::new());
    let channel_address = down.address();
    drop(down);
    let node =
        start_node_with_descriptors("full", &config(channel_address, &[server.address()]), MAX_SOCKETS);
    let mut idle_clients: Vec<TcpStream> = Vec::new();
    for n in 0..MAX_SOCKETS {
        let mut conn = node.connect();
        conn.write_all(READINESS_CHECK).unwrap();
        assert!(read_head(&mut conn).starts_with("RTSP/1.0 200 "), "no response for client {n}");
        idle_clients.push(conn);
    }
    idle_clients.extend((0..MAX_SOCKETS).map(|_| node.connect()));
    assert!(node.passes_readiness_check());
    // The connection limit is reached, and descriptors remain for all other purposes.
    let open = open_descriptors(node.process.id());
    assert!((MAX_SOCKETS as usize / 2..MAX_SOCKETS as usize * 3 / 4).contains(&open), "{open} descriptors");
    let mut viewer = node.connect();
    viewer.write_all(setup_request(1, "paid", 3_000).as_bytes()).unwrap();
    let mut server_conn = server.accept();
    let tag = server_conn.read_start().unwrap();
    server_conn.send_started(&tag);
    assert!(read_head(&mut viewer).starts_with("RTSP/1.0 200 "));
    // The channel returns at its address and lists another server.
    let (listener, other) = (TcpListener::bind(channel_address).unwrap(), Server::new());
    let (mut channel, _) = listener.accept().unwrap();
    let request = read_head(&mut channel).to_lowercase();
    assert!(request.contains("last-event-id: 7\r\n"), "{request}");
    channel.write_all(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n").unwrap();
    let removed = endpoint(0, server.address(), "terminated", 0);
    let added = endpoint(1, other.address(), "in_service", 0);
    send_event(&mut channel, &event(8, false, vec![removed, added]));
    let mut session_id = 1;
    let (mut viewer, mut server_conn) = wait_for("a set-up at the other server", || {
        let mut viewer = node.connect();
        session_id += 1;
        viewer.write_all(setup_request(session_id, "clip", 2_000).as_bytes()).unwrap();
        // Before the update there is no server, and the set-up is refused at once.
        let server_conn = wait_for("a refusal or a set-up", || {
            viewer.set_nonblocking(true).unwrap();
            let refused = viewer.peek(&mut [0]).is_ok();
            viewer.set_nonblocking(false).unwrap();
            other.try_accept().map(Some).or(refused.then_some(None))
        })?;
        Some((viewer, server_conn))
    });
    let tag = server_conn.read_start().unwrap();
    server_conn.send_started(&tag);
    assert!(read_head(&mut viewer).starts_with("RTSP/1.0 200 "));
    assert!(node.passes_readiness_check());
}

/// A hundred silent connections arrive before the first is accepted: a viewer and a readiness check after them are served.
#[test]
fn silent_connections_do_not_block_later_clients() {
    let (channel, server) = (CommandChannel::new(), Server::new());
    let mut config = config(channel.address(), &[server.address()]);
    // The accept queue of the operating system holds about 128 connections.
    const SMALL_LIMIT: u32 = 64;
    config["limits"]["sockets"] = SMALL_LIMIT.into();
    let node = start_node_with_descriptors("idle_clients", &config, SMALL_LIMIT);
    pause(&node);
    let _crowd: Vec<_> = (0..100).map(|_| node.connect()).collect();
    let mut viewer = node.connect();
    viewer.write_all(setup_request(1, "clip", 2_000).as_bytes()).unwrap();
    node.signal(Signal::CONT);
    assert!(node.passes_readiness_check());
    let mut server_conn = server.accept();
    let tag = server_conn.read_start().unwrap();
    server_conn.send_started(&tag);
    assert!(read_head(&mut viewer).starts_with("RTSP/1.0 200 "));
}

/// Hundreds of invalid clients, whose refused connections stay open until their input is drained: each gets its refusal,
/// and the next valid viewer is accepted.
#[test]
fn flood_of_invalid_clients_is_refused_and_takes_no_connection_from_valid_ones() {
    let (channel, server) = (CommandChannel::new(), Server::new());
    let node =
        start_node_with_descriptors("garbage", &config(channel.address(), &[server.address()]), MAX_SOCKETS);
    let mut invalid_clients: Vec<_> = (0..2 * MAX_SOCKETS)
        .map(|_| {
            let mut conn = node.connect();
            conn.write_all(b"\x00\x01\xfe noise").unwrap();
            conn
        })
        .collect();
    assert!(node.passes_readiness_check());
    for conn in &mut invalid_clients {
        let response = read_head(conn);
        assert!(response.is_empty() || response.starts_with("RTSP/1.0 400 "), "{response}");
    }
    let mut viewer = node.connect();
    viewer.write_all(setup_request(1, "clip", 2_000).as_bytes()).unwrap();
    let mut server_conn = server.accept();
    let tag = server_conn.read_start().unwrap();
    server_conn.send_started(&tag);
    assert!(read_head(&mut viewer).starts_with("RTSP/1.0 200 "));
}
