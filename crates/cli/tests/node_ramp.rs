//! Limit on set-ups at a cold server, shared by twenty or thirty session manager processes and counted at the socket of
//! the server.
//!
//! Checked: in every window since the start of the server, at most N + 2 * sqrt(N) + 2 set-ups arrive from all session
//! managers together. A server under a new name gets none from a manager whose list does not have it yet, however late
//! the update is. A server that crashed and restarted under its name is cold for every manager that saw its connections
//! break, with or without a list update; a manager that restarts after that has the server's start in its list.
//! Not checked, as it cannot be detected: a restart that neither the list nor a broken or refused connection reveals.

mod platform;
mod ramp;

use platform::{
    config, event, read_message, setup_request, start_node, wait_for, CommandChannel, READINESS_CHECK,
};
use ramp::{list_entry, ms, ColdServerSettings, Disruption, ManagerDriver, Scenario, Server};
use rustix::process::Signal;
use serde_json::json;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

/// Way in which the server becomes cold.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ColdStart {
    /// First start, under a new name.
    NewName,
    /// Restart under the same name, after a crash that all session managers noticed.
    Restart,
}

/// Runs the scenario of that seed; returns the set-ups in the fullest window, their limit and the total.
fn run_scenario(cold_start: ColdStart, seed: u64) -> (usize, usize, usize) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let fronts = if seed.is_multiple_of(2) { 20 } else { 30 };
    let cold_ms = rng.u64(2_000..=3_000);
    let (window_ms, cold_from) = (rng.u64(250..=700), 0.3 + 0.3 * rng.f64());
    let overload_multiple = 1.5 + 1.5 * rng.f64();
    // From a few set-ups per window for all managers together to one or two for each.
    let setups_per_window = [2.0, 5.0, 9.0, 14.0, 22.0, 40.0][seed as usize % 6];
    let places = setups_per_window / (overload_multiple * cold_from * window_ms as f64 / cold_ms as f64);
    let settings = ColdServerSettings { fronts, cold_ms, cold_from, window_ms, overload_multiple, places };
    let server = Server::new([127, 7, cold_start as u8, seed as u8]);
    let initial_list =
        if cold_start == ColdStart::NewName { Vec::new() } else { vec![list_entry(&server, 0)] };
    let (server_start, finished) = (Mutex::new(None), AtomicBool::new(false));
    let scenario = Arc::new(Scenario { settings: settings.clone(), initial_list, server_start, finished });
    // Some scenarios restart no manager, others restart all of them repeatedly; some also pause them.
    let (restarts, pauses) = ([0, 3, 6, 9][rng.usize(..4)], rng.usize(0..=2));
    let name = format!("{cold_start:?}-{seed}");
    let mut drivers = Vec::new();
    let (mut refused, mut served) = (Vec::new(), Vec::new());
    for index in 0..fronts {
        let mut disruptions: Vec<_> = (0..restarts)
            .map(|_| {
                (
                    ms(rng.u64(0..cold_ms)),
                    if rng.bool() { Disruption::Kill } else { Disruption::Term(rng.u64(50..400)) },
                )
            })
            .collect();
        disruptions
            .extend((0..pauses).map(|_| (ms(rng.u64(0..cold_ms)), Disruption::Stop(rng.u64(100..900)))));
        let update_delay = (!rng.u8(..).is_multiple_of(6)).then(|| ms(rng.u64(0..cold_ms / 4)));
        // A restarted manager has a list with the start of the server.
        let update_delay = if cold_start == ColdStart::Restart && restarts > 0 {
            Some(Duration::ZERO)
        } else {
            update_delay
        };
        let driver = ManagerDriver {
            index,
            update_delay,
            disruptions,
            refused: Arc::default(),
            served: Arc::default(),
        };
        refused.push(driver.refused.clone());
        served.push(driver.served.clone());
        let (scenario, name) = (scenario.clone(), name.clone());
        drivers.push(std::thread::spawn(move || driver.run(&scenario, &name)));
    }
    let wait_for_each = |counters: &[Arc<AtomicUsize>], increase: usize, base: &[usize]| {
        platform::wait_for("a response at each viewer", || {
            counters.iter().zip(base).all(|(now, base)| now.load(SeqCst) >= base + increase).then_some(())
        });
    };
    let values = |counters: &[Arc<AtomicUsize>]| counters.iter().map(|n| n.load(SeqCst)).collect::<Vec<_>>();
    if cold_start == ColdStart::NewName {
        wait_for_each(&refused, 1, &vec![0; fronts]);
    } else {
        wait_for_each(&served, 1, &vec![0; fronts]);
        server.stop();
        let refused_before = values(&refused);
        wait_for_each(&refused, 2, &refused_before);
    }
    let (started_at, unix_ms) = server.start_cold();
    *scenario.server_start.lock().unwrap() = Some((started_at, list_entry(&server, unix_ms)));
    while started_at.elapsed() < ms(cold_ms) {
        std::thread::sleep(ms(5));
    }
    scenario.finished.store(true, SeqCst);
    drivers.into_iter().for_each(|d| d.join().unwrap());
    let arrivals: Vec<Instant> =
        server.setups().iter().map(|(at, _)| *at).filter(|at| *at < started_at + ms(cold_ms)).collect();
    let count_in_window =
        |from: usize| arrivals[from..].iter().filter(|t| **t < arrivals[from] + ms(window_ms)).count();
    let fullest = (0..arrivals.len()).map(count_in_window).max().unwrap_or(0);
    println!(
        "{name}: {fronts} managers, fullest window {fullest}, limit {}, total {}",
        settings.max_setups_per_window(),
        arrivals.len()
    );
    (fullest, settings.max_setups_per_window(), arrivals.len())
}

fn run_scenarios(cold_start: ColdStart, seeds: std::ops::Range<u64>) {
    let mut total = 0;
    for seed in seeds {
        let (fullest, limit, setups) = run_scenario(cold_start, seed);
        assert!(
            fullest <= limit,
            "{cold_start:?}, seed {seed}: {fullest} set-ups in a window, limit {limit}"
        );
        total += setups;
    }
    assert!(total > 100, "too few set-ups reached the cold servers: {total}");
}

#[test]
fn setup_limit_holds_at_a_new_server_with_late_list_updates_restarts_and_pauses() {
    run_scenarios(ColdStart::NewName, 0..12);
}

#[test]
fn setup_limit_holds_at_a_server_that_crashed_and_restarted() {
    run_scenarios(ColdStart::Restart, 0..10);
}

/// Returns whether the process is blocked: neither running nor waiting for a CPU.
fn is_sleeping(node: &platform::Node) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", node.process.id())).unwrap();
    stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('S'))
}

/// Number of echoes that overflows the socket buffers but not the send queue of a connection.
const ECHO_COUNT: usize = 900;

/// Fills the socket buffers of a connection whose server does not read: sends long echoes and waits until the process has
/// read all of them and sleeps with replies unwritten.
fn fill_send_buffer(node: &platform::Node, server_conn: &mut platform::ServerConnection) {
    let echo = json!({"verb": "ECHO", "tag": "e".repeat(15_000), "opts": {}, "rc": 0});
    for _ in 0..ECHO_COUNT {
        server_conn.send_line(&echo);
    }
    let mut asleep = 0;
    wait_for("the process has read all echoes and blocks on writing", || {
        asleep = if is_sleeping(node) { asleep + 1 } else { 0 };
        (asleep == 20).then_some(())
    });
}

/// A set-up gets a time slot at a cold server, and the process is stopped before the first byte is written. Sent after the
/// slot, it would exceed the limit together with the set-ups of the next slot, so it is dropped. A warm server has no time
/// slots: there it is sent.
#[test]
fn set_up_delayed_past_its_time_slot_by_a_stopped_process_is_not_sent() {
    for (cold, sent) in [(true, false), (false, true)] {
        let (channel, server) = (CommandChannel::new(), platform::Server::new());
        let unix_ms = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis() as u64;
        let mut config = config(channel.address(), &[]);
        let entry = platform::endpoint(0, server.address(), "in_service", if cold { unix_ms } else { 0 });
        config["known"] = json!({"cursor": 7, "cmds": [event(7, true, vec![entry])]});
        config["settings"]["invariants"] =
            json!({"cold": 60_000, "cold-from": 0.5, "fall": 300, "fall-multiple": 2.0});
        config["settings"]["domain"]["places-by-kind"] = json!([60_000.0]);
        config["settings"]["limits"]["most-tries"] = json!(1);
        let node = start_node(&format!("stopped-{cold}"), &config);
        let mut viewer = node.connect();
        let mut server_conn = wait_for("the first time slot", || {
            viewer.write_all(setup_request(1, "clip", 1_900).as_bytes()).unwrap();
            let mut response = None;
            let server_conn = wait_for("a set-up or a refusal", || {
                viewer.set_nonblocking(true).unwrap();
                response = viewer.peek(&mut [0]).ok();
                viewer.set_nonblocking(false).unwrap();
                let server_conn = server.try_accept();
                (server_conn.is_some() || response.is_some()).then_some(server_conn)
            });
            if response.is_some() {
                read_message(&mut viewer);
            }
            server_conn
        });
        let tag = server_conn.read_start().unwrap();
        server_conn.send_started(&tag);
        assert!(read_message(&mut viewer).0.starts_with("RTSP/1.0 200 "));
        fill_send_buffer(&node, &mut server_conn);
        viewer.write_all(setup_request(2, "clip", 1_900).as_bytes()).unwrap();
        // Messages are processed in order: after this response the set-up has its decision and waits for its connection.
        viewer.write_all(READINESS_CHECK).unwrap();
        assert!(read_message(&mut viewer).0.contains("CSeq: 3"));
        node.signal(Signal::STOP);
        std::thread::sleep(ms(300));
        let (start_tx, start_rx) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            while let Some(tag) = server_conn.read_start() {
                let _ = start_tx.send(tag.clone());
                server_conn.send_started(&tag);
            }
        });
        node.signal(Signal::CONT);
        let response = read_message(&mut viewer).0;
        assert_eq!(response.starts_with("RTSP/1.0 200 "), sent, "cold: {cold}: {response}");
        assert_eq!(response.starts_with("RTSP/1.0 503 "), !sent, "cold: {cold}: {response}");
        viewer.write_all(setup_request(3, "clip", 1_900).as_bytes()).unwrap();
        assert!(read_message(&mut viewer).0.starts_with("RTSP/1.0 200 "), "the connection is still usable");
        let received: Vec<_> = start_rx.try_iter().collect();
        let expected: &[u64] = if sent { &[2, 3] } else { &[3] };
        assert_eq!(received, expected.iter().map(|t| format!("{t:016x}")).collect::<Vec<_>>());
    }
}
