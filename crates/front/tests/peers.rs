//! Warm starts over sockets, with real fronts and with scripted peers that are stale, interrupted,
//! untrustworthy or incompatible. The front serves in each case.

mod common;

use bytes::Bytes;
use cloverhollow_http::{Limits, RequestFrame, RequestHead, ResponseHead};
use cloverhollow_knowledge::observations::{ListedState, Observer, ServerStatus};
use cloverhollow_knowledge::wire::Message;
use cloverhollow_knowledge::{KnowledgeLevel, KnowledgeStore};
use cloverhollow_net::{read_body, write_response, ServerCodec, ServerConn};
use cloverhollow_settings::title_id;
use common::*;
use futures_util::StreamExt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_util::codec::Framed;

/// Scripted response of a peer, by the index of the request (from 0), its nonce and its head.
type ReplyFn = Arc<dyn Fn(usize, u64, &RequestHead) -> (ResponseHead, Vec<u8>) + Send + Sync>;

async fn start_peer(reply: ReplyFn) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicUsize::new(0));
    let count = requests.clone();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let (reply, count) = (reply.clone(), count.clone());
            tokio::spawn(async move {
                let mut conn: ServerConn = Framed::new(stream, ServerCodec::new(Limits::default()));
                let Some(Ok(RequestFrame::Head(head))) = conn.next().await else { return };
                let _ = read_body(&mut conn, 0).await;
                let nonce = head.target.query_argument("nonce").and_then(|n| n.parse().ok()).unwrap_or(0);
                let (out, body) = reply(count.fetch_add(1, Relaxed), nonce, &head);
                // A head that announces a longer body than is sent makes an interrupted transfer.
                let _ = write_response(&mut conn, out, Bytes::from(body)).await;
            });
        }
    });
    (address, requests)
}

/// Message of a warm front: server 1 drains since version 9 of the list.
fn warm_message(nonce: u64, fleet: &str) -> Message {
    let observer = Observer { instance: 77, incarnation: 1 };
    let mut store = KnowledgeStore::new(observer, title_id(fleet), Duration::from_secs(30));
    store.record_state(
        Duration::from_secs(100),
        1,
        ListedState { version: 9, status: ServerStatus::Draining },
    );
    store.view().message(Duration::from_secs(101), nonce, None, KnowledgeLevel::Warm, Vec::new())
}

fn encoded_message(nonce: u64) -> Vec<u8> {
    warm_message(nonce, "fleet").encode().unwrap()
}

fn ok_response(body: Vec<u8>) -> (ResponseHead, Vec<u8>) {
    let mut head = ResponseHead::new(200, body.len());
    head.headers.push("etag", "\"5\"");
    (head, body)
}

fn peer_settings(peers: &[SocketAddr]) -> String {
    let all: Vec<String> = peers.iter().map(|p| format!("\"{p}\"")).collect();
    format!(
        "peers: {{addresses: [{}], jitter_ms: 0, deadline_ms: 400, hedge_ms: 50, hold_ms: 5000, enough: 1, every_ms: 0}}",
        all.join(", ")
    )
}

/// Starts a front over two servers with these peers, and returns it with its health once the warm start has
/// ended.
async fn start_with_peers(servers: [&TestServer; 2], peers: &[SocketAddr]) -> (TestFront, String) {
    let front = start_ready_front(&servers, &peer_settings(peers)).await;
    let side = front.front.side_address.unwrap();
    let warm_start = async {
        loop {
            let health = send_raw(side, "GET /health HTTP/1.1\r\nhost: x\r\n\r\n").await;
            if !health.contains("\"level\":\"warming\"") {
                return health;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let health = tokio::time::timeout(TEST_TIMEOUT, warm_start).await.expect("the warm start ends");
    (front, health)
}

/// Sets up eight sessions and returns how many went to the first server.
async fn sessions_at_first(front: &TestFront, first: &TestServer) -> usize {
    for i in 0..8 {
        let got =
            send_raw(front.address, &get_request("/club/clip/t1/0", &session_headers(&format!("w{i}"))))
                .await;
        assert!(got.starts_with("HTTP/1.1 200"), "{got}");
    }
    first.setups()
}

#[tokio::test]
async fn restarted_front_applies_a_newer_drain_from_a_peer() {
    let (first, second) = (TestServer::start(Script::Serves).await, TestServer::start(Script::Serves).await);
    let (warm, _) = start_peer(Arc::new(|_, nonce, _| ok_response(encoded_message(nonce)))).await;
    let (front, health) = start_with_peers([&first, &second], &[warm]).await;
    assert!(health.contains("\"level\":\"warm\"") && health.contains("enough warm peers"), "{health}");
    assert_eq!(sessions_at_first(&front, &first).await, 0);
}

#[tokio::test]
async fn interrupted_transfer_resumes_where_it_stopped() {
    let (first, second) = (TestServer::start(Script::Serves).await, TestServer::start(Script::Serves).await);
    let interrupting_reply: ReplyFn = Arc::new(|n, nonce, head| {
        let all = encoded_message(nonce);
        let text = |name: &str| head.headers.get_str(name).map(str::to_string);
        if n == 0 {
            let (head, _) = ok_response(all.clone());
            return (ResponseHead { keep_alive: false, ..head }, all[..all.len() / 2].to_vec());
        }
        assert_eq!(text("range"), Some(format!("bytes={}-", all.len() / 2)));
        assert_eq!(text("if-range").as_deref(), Some("\"5\""));
        let rest = all[all.len() / 2..].to_vec();
        (ResponseHead { status: 206, ..ok_response(rest.clone()).0 }, rest)
    });
    let interrupted = start_peer(interrupting_reply).await;
    let (front, health) = start_with_peers([&first, &second], &[interrupted.0]).await;
    assert!(health.contains("\"level\":\"warm\""), "{health}");
    assert_eq!((sessions_at_first(&front, &first).await, interrupted.1.load(Relaxed)), (0, 2));
}

#[tokio::test]
async fn untrustworthy_peers_are_ignored_and_the_front_starts_cold() {
    let cases: Vec<(&str, ReplyFn)> = vec![
        (
            "corrupt",
            Arc::new(|_, nonce, _| {
                let mut bytes = encoded_message(nonce);
                let last = bytes.len() - 1;
                bytes[last] ^= 1;
                ok_response(bytes)
            }),
        ),
        ("replay of a response to another request", Arc::new(|_, _, _| ok_response(encoded_message(1)))),
        (
            "from another fleet",
            Arc::new(|_, nonce, _| ok_response(warm_message(nonce, "others").encode().unwrap())),
        ),
        (
            "newer format",
            Arc::new(|_, nonce, _| {
                let mut bytes = encoded_message(nonce);
                bytes[4] = 200;
                ok_response(bytes)
            }),
        ),
        ("older format, refused with 406", Arc::new(|_, _, _| (ResponseHead::new(406, 0), Vec::new()))),
        ("not a front", Arc::new(|_, _, _| ok_response(b"<html>".to_vec()))),
        ("oversized", Arc::new(|_, _, _| ok_response(vec![0; 17 * 1024 * 1024]))),
    ];
    for (case, reply) in cases {
        let (first, second) =
            (TestServer::start(Script::Serves).await, TestServer::start(Script::Serves).await);
        let (bad, _) = start_peer(reply).await;
        let (front, health) = start_with_peers([&first, &second], &[bad]).await;
        assert!(health.contains("\"level\":\"cold\""), "{case}: {health}");
        assert!(sessions_at_first(&front, &first).await > 0, "{case}: its message must not be used");
    }
}

#[tokio::test]
async fn unreachable_or_silent_peers_are_hedged() {
    let (first, second) = (TestServer::start(Script::Serves).await, TestServer::start(Script::Serves).await);
    let unreachable = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (warm, _) = start_peer(Arc::new(|_, nonce, _| ok_response(encoded_message(nonce)))).await;
    let (front, health) =
        start_with_peers([&first, &second], &[unreachable, silent.local_addr().unwrap(), warm]).await;
    assert!(health.contains("\"level\":\"warm\""), "{health}");
    assert_eq!(sessions_at_first(&front, &first).await, 0);
}

#[tokio::test]
async fn busy_peer_is_retried_after_its_delay() {
    let (first, second) = (TestServer::start(Script::Serves).await, TestServer::start(Script::Serves).await);
    let busy: ReplyFn = Arc::new(|n, nonce, _| {
        if n > 0 {
            return ok_response(encoded_message(nonce));
        }
        let mut head = ResponseHead::new(503, 0);
        head.headers.push("retry-after", "1");
        head.headers.push("cloverhollow-retry-after-ms", "30");
        (head, Vec::new())
    });
    let (address, requests) = start_peer(busy).await;
    let (_front, health) = start_with_peers([&first, &second], &[address]).await;
    assert!(health.contains("\"level\":\"warm\""), "{health}");
    assert_eq!(requests.load(Relaxed), 2);
}

#[tokio::test]
async fn fronts_exchange_knowledge_and_cold_ones_do_not_count_as_warm() {
    let (first, second) = (TestServer::start(Script::Serves).await, TestServer::start(Script::Serves).await);
    let cold = start_ready_front(&[&first, &second], "instance: {name: front-8, seed: 3}").await;
    let (front, health) = start_with_peers([&first, &second], &[cold.front.side_address.unwrap()]).await;
    assert!(health.contains("\"level\":\"cold\"") && health.contains("cold too"), "{health}");
    assert!(health.contains("\"knows_servers\":2"), "its knowledge is merged all the same: {health}");
    let got = send_raw(front.address, &get_request("/club/clip/t1/0", &session_headers("x"))).await;
    assert!(got.starts_with("HTTP/1.1 200"), "{got}");
    let metrics =
        send_raw(cold.front.side_address.unwrap(), "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert!(metrics.contains("cloverhollow_peer_fed_total 1"), "{metrics}");
    // Malformed and incompatible requests get their status.
    for (path, expected_status) in [
        ("/v1/knowledge", "400"),
        ("/v1/knowledge?nonce=1&format=9", "406"),
        ("/v1/knowledge?nonce=1&format=1", "200"),
    ] {
        let got =
            send_raw(cold.front.side_address.unwrap(), &format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n"))
                .await;
        assert!(got.starts_with(&format!("HTTP/1.1 {expected_status}")), "{path}: {got}");
    }
}

#[test]
fn openapi_description_covers_the_exchange() {
    let text = include_str!("../../../docs/openapi/knowledge.yaml");
    for name in [
        "/v1/knowledge:",
        "name: nonce",
        "name: format",
        "name: after",
        "name: from",
        "'200':",
        "'206':",
        "'400':",
        "'406':",
        "'503':",
        "cloverhollow-retry-after-ms",
        "application/vnd.cloverhollow.knowledge",
    ] {
        assert!(text.contains(name), "{name} is missing in docs/openapi/knowledge.yaml");
    }
}
