//! `cloverhollow node` while other clients send at full speed: set-ups of ordinary viewers are served, and the process
//! stays within its memory limit.

mod load;
mod platform;

use load::*;
use platform::*;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Memory limit of the process in its configuration, MB.
const MEMORY_MB: u64 = 32;
/// Set-ups of ordinary viewers during a flood, and the time between two of them.
const SET_UPS: u64 = 100;
const SET_UP_INTERVAL: Duration = Duration::from_millis(10);
/// Number of messages that a client sends at a time.
const BATCH: u64 = 100;
/// First session id of the flooding clients.
const FIRST_FLOOD_ID: u64 = 1 << 40;

/// Checks that set-ups are served within the memory limit while clients flood the session manager.
fn assert_served_during(name: &str, flood: Flood) {
    let (servers, clients, viewers) = (runtime(), runtime(), runtime());
    let channel = CommandChannel::new();
    let addresses: Vec<_> = (0..4).map(|_| start_answering_server(&servers)).collect();
    let mut config = config(channel.address(), &addresses);
    config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1_024});
    config["settings"]["grades"][0]["deadline"] = (TIMEOUT.as_millis() as u64).into();
    let node = start_node(&format!("flood-{name}"), &config);
    let running = flood.start(&clients, node.address);
    running.wait_until_sent(1024 * 1024);
    let statuses = send_setups(&viewers, &node, 1..=SET_UPS, SET_UP_INTERVAL, TIMEOUT);
    running.stop();
    let peak_memory = peak_memory_bytes(node.process.id());
    assert_eq!(statuses.get(&Some(200)), Some(&(SET_UPS as usize)), "{name}: {statuses:?}");
    assert!(peak_memory < MEMORY_MB * 1024 * 1024, "{name}: {peak_memory} bytes of memory");
}

/// The same bytes from each of 300 clients, which read their responses or do not.
fn crowd(message: &[u8], reads: bool) -> Flood {
    let bytes = message.repeat(BATCH as usize);
    Flood { connections: 300, payload: Arc::new(move |_| bytes.clone()), reads }
}

/// One client that sends messages about sessions of ever new ids.
fn client_with_new_ids(messages: impl Fn(u64) -> String + Send + Sync + 'static) -> Flood {
    let payload = move |repetition| {
        let ids = (0..BATCH).map(|i| FIRST_FLOOD_ID + repetition * BATCH + i);
        ids.map(&messages).collect::<String>().into_bytes()
    };
    Flood { connections: 1, payload: Arc::new(payload), reads: true }
}

/// Guards against answers that come late or not at all, and memory over the limit, while hundreds of clients send
/// pings: all that they had sent was handled in one step.
#[test]
fn set_ups_are_served_within_the_memory_limit_while_hundreds_of_clients_send_pings() {
    assert_served_during("pings", crowd(READINESS_CHECK, true));
}

/// Guards against memory that grows with the responses that hundreds of clients do not read.
#[test]
fn set_ups_are_served_within_the_memory_limit_while_hundreds_of_clients_read_no_responses() {
    assert_served_during("unread", crowd(READINESS_CHECK, false));
}

/// Guards against memory over the limit while hundreds of clients send messages of many short fields, or long ones.
#[test]
fn set_ups_are_served_within_the_memory_limit_while_hundreds_of_clients_send_large_messages() {
    let fields: String = (0..60).map(|i| format!("a{i}: b\r\n")).collect();
    let head = "ANNOUNCE rtsp://media/x RTSP/1.0\r\nCSeq: 9\r\n";
    let many_fields = format!("{head}{fields}Content-Length: 0\r\n\r\n");
    assert_served_during("fields", crowd(many_fields.as_bytes(), true));
    let long = format!("{head}Content-Length: 15000\r\n\r\n{}", "x".repeat(15_000));
    assert_served_during("long", crowd(long.as_bytes(), true));
}

/// Guards against answers that come late or not at all while one client sends set-ups under ever new names: taken back at
/// once, or of a class that does not exist.
#[test]
fn set_ups_are_served_while_one_client_sends_set_ups_under_new_names() {
    let taken_back = |id| setup_request(id, "clip", 2_000) + &teardown_request(id, None);
    assert_served_during("taken-back", client_with_new_ids(taken_back));
    assert_served_during("unsound", client_with_new_ids(|id| setup_request(id, "gold", 2_000)));
}
