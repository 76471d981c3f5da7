//! SIGTERM, SIGHUP and a restart, each while responses or releases are pending.

mod platform;

use platform::*;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

/// Minimum time that a process keeps running after SIGTERM: 3 s plus 0.7 s, by the protocol.
const GRACE: Duration = Duration::from_millis(3_700);

/// Sends a set-up and waits until it reaches the video server; returns the viewer's connection, the server's connection
/// and the tag.
fn send_set_up(node: &Node, server: &Server, id: u64) -> (std::net::TcpStream, ServerConnection, String) {
    let mut viewer = node.connect();
    viewer.write_all(setup_request(id, "clip", 60_000).as_bytes()).unwrap();
    let mut server_conn = server.accept();
    let tag = server_conn.read_start().unwrap();
    (viewer, server_conn, tag)
}

fn is_served(viewer: &mut std::net::TcpStream) -> bool {
    read_message(viewer).0.starts_with("RTSP/1.0 200 ")
}

/// Guards the last response: the process used to exit in the step that queued it, before it was written. The test waits
/// for the whole grace period, which cannot be shortened.
#[test]
fn exit_waits_until_the_pending_response_is_written() {
    let (channel, server) = (CommandChannel::new(), Server::new());
    let mut config = config(channel.address(), &[server.address()]);
    // Viewers of a class without a deadline wait for the time in their request.
    config["settings"]["grades"][0].as_object_mut().unwrap().remove("deadline");
    config["settings"]["grades"][0]["aim"] = 60_000.into();
    config["settings"]["grades"][1]["deadline"] = 1_000.into();
    let mut node = start_node("last", &config);
    let (mut viewer, mut server_conn, tag) = send_set_up(&node, &server, 0xc0);
    // An idle connection that has sent a request: a silent one would get an error response by then.
    let mut idle = node.connect();
    idle.write_all(teardown_request(0xc1, None).as_bytes()).unwrap();
    assert!(read_head(&mut idle).starts_with("RTSP/1.0 200 "));
    let term_sent_at = Instant::now();
    node.signal(Signal::TERM);
    node.signal(Signal::TERM);
    std::thread::sleep(GRACE + Duration::from_millis(200));
    assert!(node.process.try_wait().unwrap().is_none(), "a response is pending");
    assert!(node.passes_readiness_check(), "requests are accepted meanwhile");
    server_conn.send_started(&tag);
    assert!(is_served(&mut viewer), "the response is written");
    assert!(node.wait_for_exit().success());
    assert!(term_sent_at.elapsed() >= GRACE);
    assert_eq!(read_head(&mut idle), "", "closed, not reset");
}

#[test]
fn idle_process_exits_after_the_grace_period_and_not_before() {
    let channel = CommandChannel::new();
    let mut node = start_node("idle", &config(channel.address(), &[]));
    let term_sent_at = Instant::now();
    node.signal(Signal::TERM);
    assert!(node.wait_for_exit().success());
    assert!(term_sent_at.elapsed() >= GRACE, "{:?}", term_sent_at.elapsed());
}

/// Pipelined requests on connections from before and after SIGTERM; established sessions are released in the grace period.
#[test]
fn after_sigterm_pipelined_requests_are_answered_and_releases_pass_in_both_directions() {
    let (channel, server) = (CommandChannel::new(), Server::new());
    let node = start_node("grace", &config(channel.address(), &[server.address()]));
    let (mut before, mut server_conn, tag) = send_set_up(&node, &server, 0xd0);
    node.signal(Signal::TERM);
    server_conn.send_started(&tag);
    assert!(is_served(&mut before), "its attempt was in progress");
    // A release by the server reaches the viewer; below, a release by the viewer reaches the server.
    server_conn.send_finish(&tag, 16);
    let released = read_head(&mut before);
    assert!(released.starts_with("TEARDOWN ") && released.contains(&tag), "{released}");
    let mut after = node.connect();
    let teardowns: String = (0..20).map(|n| teardown_request(0xf00 + n, None)).collect();
    after.write_all((teardowns + &setup_request(0xe00, "gold", 1_000)).as_bytes()).unwrap();
    for n in 0..20 {
        let response = read_head(&mut after);
        assert!(
            response.starts_with("RTSP/1.0 200 ") && response.contains(&format!("{:016x}", 0xf00 + n)),
            "{response}"
        );
    }
    assert!(read_head(&mut after).starts_with("RTSP/1.0 400 "), "the last one names an unknown class");
    let mut third = node.connect();
    third.write_all(setup_request(0xd1, "clip", 1_000).as_bytes()).unwrap();
    let tag = server_conn.read_start().unwrap();
    server_conn.send_started(&tag);
    assert!(is_served(&mut third));
    third.write_all(teardown_request(0xd1, Some(31)).as_bytes()).unwrap();
    let finish = server_conn.read_line().unwrap();
    assert_eq!((finish["verb"].as_str(), finish["tag"].as_str()), (Some("FINISH"), Some(&*tag)));
}

/// A restart under the same name and address while clients of the previous process still hold their connections, with
/// discovery down and hundreds of sessions handed over right after the first readiness check.
#[test]
fn restarted_process_is_ready_at_once_and_accepts_handed_over_sessions() {
    let server = Server::new();
    // No listener at this address.
    let (_reserved, channel) = refusing_address();
    let mut config = config(channel, &[server.address()]);
    let mut first = start_node("life", &config);
    let address = first.address;
    let held: Vec<_> = (0..20).map(|_| first.connect()).collect();
    assert!(first.passes_readiness_check());
    first.process.kill().unwrap();
    first.process.wait().unwrap();
    let _port = reserve_port(address);
    config["listen"] = address.to_string().into();
    config["seed"] = "5be9648c1f30d27a".into();
    let second = start_node("life", &config);
    assert_eq!(second.address, address);
    let mut front = second.connect();
    let handed_over = |id: u64, server: &str| {
        setup_request(id, "clip", 4_000_000).replace(";viewer", &format!(";at:{server};viewer"))
    };
    let listed: String = (0..200).map(|n| handed_over(0x1000 + n, "s-00000000")).collect();
    let unlisted: String = (0..200).map(|n| handed_over(0x2000 + n, "s-00c41f7a")).collect();
    front.write_all((listed + &unlisted).as_bytes()).unwrap();
    for n in 0..200 {
        let released = read_head(&mut front);
        let id = format!("{:016x}", 0x2000 + n);
        assert!(released.starts_with("TEARDOWN ") && released.contains(&id), "{n}: {released}");
    }
    assert!(second.passes_readiness_check());
    // A session handed over at a listed server is established: its release reaches the viewer.
    let mut server_conn = server.accept();
    server_conn.send_finish("0000000000001007", 16);
    let released = read_head(&mut front);
    assert!(released.starts_with("TEARDOWN ") && released.contains("0000000000001007"), "{released}");
    drop(held);
}

/// The channel address changes while the previous channel refuses connections, is silent, or streams.
#[test]
fn sighup_moves_the_channel_in_any_state_of_the_stream() {
    let (_reserved, refusing) = refusing_address();
    let node = start_node("move", &config(refusing, &[]));
    let silent = CommandChannel::new();
    node.reload_config(&config(silent.address(), &[]));
    let (held, last) = silent.accept();
    assert_eq!(last, 7);
    // This channel sends nothing, not even a response head.
    let third = CommandChannel::new();
    node.reload_config(&config(third.address(), &[]));
    node.signal(Signal::HUP);
    let (mut stream, _) = third.accept_stream();
    send_event(&mut stream, &event(8, false, vec![]));
    // An invalid file, and one that names the same channel: the stream continues.
    std::fs::write(&node.config, "{").unwrap();
    node.signal(Signal::HUP);
    node.reload_config(&config(third.address(), &[]));
    assert!(node.passes_readiness_check());
    send_event(&mut stream, &event(9, false, vec![]));
    node.signal(Signal::TERM);
    let fourth = CommandChannel::new();
    node.reload_config(&config(fourth.address(), &[]));
    // The old channel still works, so only the move can end its stream.
    stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
    wait_for("the old stream is closed", || {
        let _ = stream.write_all(b": alive\n\n");
        stream.read(&mut [0; 64]).is_ok_and(|n| n == 0).then_some(())
    });
    assert_eq!(fourth.accept().1, 9, "the move works in the grace period and resumes after the last event");
    drop(held);
}

/// Reserves a port without listening, so that it is not assigned to others and a session manager can still bind it.
fn reserve_port(address: SocketAddr) -> socket2::Socket {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&address.into()).unwrap();
    socket
}

/// An address that refuses connections while the returned socket is open.
fn refusing_address() -> (socket2::Socket, SocketAddr) {
    let socket = reserve_port("127.0.0.1:0".parse().unwrap());
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address)
}

/// Finds the process that was started with that configuration file.
fn find_process(file: &std::path::Path) -> Pid {
    let file = file.to_str().unwrap();
    wait_for("the process", || {
        let pids = std::fs::read_dir("/proc")
            .unwrap()
            .flatten()
            .filter_map(|e| e.file_name().to_str()?.parse().ok());
        pids.filter_map(Pid::from_raw).find(|pid| {
            let line = std::fs::read_to_string(format!("/proc/{}/cmdline", pid.as_raw_nonzero()));
            line.is_ok_and(|l| l.contains(file))
        })
    })
}

/// Both signals arrive while the process still waits for the first byte of its configuration. Either of them used to end
/// the process at once.
#[test]
fn signals_during_startup_are_handled_like_later_ones() {
    let (first, second) = (CommandChannel::new(), CommandChannel::new());
    let file = temp_dir("node-start").join("config.json");
    assert!(Command::new("mkfifo").arg(&file).status().unwrap().success());
    let config_path = file.clone();
    let starter = std::thread::spawn(move || {
        spawn_until_ready(Command::new(env!("CARGO_BIN_EXE_cloverhollow")), "node", &config_path)
    });
    // Opening the FIFO blocks until the process opens it.
    let mut pipe = std::fs::File::options().write(true).open(&file).unwrap();
    std::fs::remove_file(&file).unwrap();
    std::fs::write(&file, config(second.address(), &[]).to_string()).unwrap();
    let pid = find_process(&file);
    for signal in [Signal::HUP, Signal::TERM] {
        kill_process(pid, signal).unwrap();
    }
    let term_sent_at = Instant::now();
    pipe.write_all(config(first.address(), &[]).to_string().as_bytes()).unwrap();
    drop(pipe);
    let (process, ready) = starter.join().unwrap();
    let address = ready["address"].as_str().unwrap().parse().unwrap();
    let mut node = Node { process, address, config: file };
    assert!(node.passes_readiness_check());
    assert_eq!(second.accept().1, 7, "the new configuration is used");
    assert!(node.wait_for_exit().success());
    assert!(term_sent_at.elapsed() >= GRACE);
}
