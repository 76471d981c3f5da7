//! Warm starts over sockets: real fronts, and scripted peers that are stale, cut off, lie, or are of another
//! kind. In each case the front serves on.

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

/// What a scripted peer answers to a question: its number, from 0, the nonce, and the head.
type Reply = Arc<dyn Fn(usize, u64, &RequestHead) -> (ResponseHead, Vec<u8>) + Send + Sync>;

async fn peer(reply: Reply) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let asked = Arc::new(AtomicUsize::new(0));
    let count = asked.clone();
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
                // A head that promises more than is sent is a cut.
                let _ = write_response(&mut conn, out, Bytes::from(body)).await;
            });
        }
    });
    (address, asked)
}

/// What a warm front would say: that server 1 drains since version 9 of the list.
fn message(nonce: u64, fleet: &str) -> Message {
    let me = Observer { instance: 77, incarnation: 1 };
    let mut book = KnowledgeStore::new(me, title_id(fleet), Duration::from_secs(30));
    book.record_state(
        Duration::from_secs(100),
        1,
        ListedState { version: 9, status: ServerStatus::Draining },
    );
    book.view().message(Duration::from_secs(101), nonce, None, KnowledgeLevel::Warm, Vec::new())
}

fn whole(nonce: u64) -> Vec<u8> {
    message(nonce, "fleet").encode().unwrap()
}

fn ok(body: Vec<u8>) -> (ResponseHead, Vec<u8>) {
    let mut head = ResponseHead::new(200, body.len());
    head.headers.push("etag", "\"5\"");
    (head, body)
}

fn asking(peers: &[SocketAddr]) -> String {
    let all: Vec<String> = peers.iter().map(|p| format!("\"{p}\"")).collect();
    format!(
        "peers: {{addresses: [{}], jitter_ms: 0, deadline_ms: 400, hedge_ms: 50, hold_ms: 5000, enough: 1, every_ms: 0}}",
        all.join(", ")
    )
}

/// A front over two servers that asks those peers, once its warm start has ended; and its health.
async fn started(servers: [&Peer; 2], peers: &[SocketAddr]) -> (Setup, String) {
    let s = over(&servers, &asking(peers)).await;
    let side = s.front.side_address.unwrap();
    let ended = async {
        loop {
            let health = raw(side, "GET /health HTTP/1.1\r\nhost: x\r\n\r\n").await;
            if !health.contains("\"level\":\"warming\"") {
                return health;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let health = tokio::time::timeout(LONG, ended).await.expect("the warm start ends");
    (s, health)
}

/// Sets eight sessions up; how many went to the first server.
async fn to_first(s: &Setup, first: &Peer) -> usize {
    for i in 0..8 {
        let got = raw(s.address, &get("/club/clip/t1/0", &sid(&format!("w{i}")))).await;
        assert!(got.starts_with("HTTP/1.1 200"), "{got}");
    }
    first.setups()
}

#[tokio::test]
async fn a_peers_newer_word_on_a_drain_is_kept_by_a_front_that_comes_back() {
    let (first, second) = (Peer::start(Does::Plays).await, Peer::start(Does::Plays).await);
    let (warm, _) = peer(Arc::new(|_, nonce, _| ok(whole(nonce)))).await;
    let (s, health) = started([&first, &second], &[warm]).await;
    assert!(health.contains("\"level\":\"warm\"") && health.contains("enough warm peers"), "{health}");
    assert_eq!(to_first(&s, &first).await, 0);
}

#[tokio::test]
async fn a_transfer_that_is_cut_goes_on_where_it_was_cut() {
    let (first, second) = (Peer::start(Does::Plays).await, Peer::start(Does::Plays).await);
    let cuts: Reply = Arc::new(|n, nonce, head| {
        let all = whole(nonce);
        let text = |name: &str| head.headers.get_str(name).map(str::to_string);
        if n == 0 {
            let (head, _) = ok(all.clone());
            return (ResponseHead { keep_alive: false, ..head }, all[..all.len() / 2].to_vec());
        }
        assert_eq!(text("range"), Some(format!("bytes={}-", all.len() / 2)));
        assert_eq!(text("if-range").as_deref(), Some("\"5\""));
        let rest = all[all.len() / 2..].to_vec();
        (ResponseHead { status: 206, ..ok(rest.clone()).0 }, rest)
    });
    let listener = peer(cuts).await;
    let (s, health) = started([&first, &second], &[listener.0]).await;
    assert!(health.contains("\"level\":\"warm\""), "{health}");
    assert_eq!((to_first(&s, &first).await, listener.1.load(Relaxed)), (0, 2));
}

#[tokio::test]
async fn peers_that_cannot_be_trusted_are_passed_over_and_the_front_starts_cold() {
    let cases: Vec<(&str, Reply)> = vec![
        (
            "garbled",
            Arc::new(|_, nonce, _| {
                let mut bytes = whole(nonce);
                let at = bytes.len() - 1;
                bytes[at] ^= 1;
                ok(bytes)
            }),
        ),
        ("a replay of an answer to somebody else", Arc::new(|_, _, _| ok(whole(1)))),
        ("of another fleet", Arc::new(|_, nonce, _| ok(message(nonce, "others").encode().unwrap()))),
        (
            "of a newer format",
            Arc::new(|_, nonce, _| {
                let mut bytes = whole(nonce);
                bytes[4] = 200;
                ok(bytes)
            }),
        ),
        ("of an older format, says so", Arc::new(|_, _, _| (ResponseHead::new(406, 0), Vec::new()))),
        ("no front at all", Arc::new(|_, _, _| ok(b"<html>".to_vec()))),
        ("oversized", Arc::new(|_, _, _| ok(vec![0; 17 * 1024 * 1024]))),
    ];
    for (what, reply) in cases {
        let (first, second) = (Peer::start(Does::Plays).await, Peer::start(Does::Plays).await);
        let (bad, _) = peer(reply).await;
        let (s, health) = started([&first, &second], &[bad]).await;
        assert!(health.contains("\"level\":\"cold\""), "{what}: {health}");
        assert!(to_first(&s, &first).await > 0, "{what}: nothing of it is taken");
    }
}

#[tokio::test]
async fn a_peer_that_is_gone_or_silent_is_hedged_by_another() {
    let (first, second) = (Peer::start(Does::Plays).await, Peer::start(Does::Plays).await);
    let gone = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (warm, _) = peer(Arc::new(|_, nonce, _| ok(whole(nonce)))).await;
    let (s, health) = started([&first, &second], &[gone, silent.local_addr().unwrap(), warm]).await;
    assert!(health.contains("\"level\":\"warm\""), "{health}");
    assert_eq!(to_first(&s, &first).await, 0);
}

#[tokio::test]
async fn a_busy_peer_is_asked_again_after_its_hold_off() {
    let (first, second) = (Peer::start(Does::Plays).await, Peer::start(Does::Plays).await);
    let busy: Reply = Arc::new(|n, nonce, _| {
        if n > 0 {
            return ok(whole(nonce));
        }
        let mut head = ResponseHead::new(503, 0);
        head.headers.push("retry-after", "1");
        head.headers.push("cloverhollow-retry-after-ms", "30");
        (head, Vec::new())
    });
    let (address, asked) = peer(busy).await;
    let (_s, health) = started([&first, &second], &[address]).await;
    assert!(health.contains("\"level\":\"warm\""), "{health}");
    assert_eq!(asked.load(Relaxed), 2);
}

#[tokio::test]
async fn real_fronts_feed_each_other_and_cold_ones_do_not_count_as_warm() {
    let (first, second) = (Peer::start(Does::Plays).await, Peer::start(Does::Plays).await);
    let cold = over(&[&first, &second], "instance: {name: front-8, seed: 3}").await;
    let (s, health) = started([&first, &second], &[cold.front.side_address.unwrap()]).await;
    assert!(health.contains("\"level\":\"cold\"") && health.contains("cold too"), "{health}");
    assert!(health.contains("\"knows_servers\":2"), "what it said is known all the same: {health}");
    let got = raw(s.address, &get("/club/clip/t1/0", &sid("x"))).await;
    assert!(got.starts_with("HTTP/1.1 200"), "{got}");
    let metrics = raw(cold.front.side_address.unwrap(), "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert!(metrics.contains("cloverhollow_peer_fed_total 1"), "{metrics}");
    // The door: what it answers to what is no question.
    for (path, want) in [
        ("/v1/knowledge", "400"),
        ("/v1/knowledge?nonce=1&format=9", "406"),
        ("/v1/knowledge?nonce=1&format=1", "200"),
    ] {
        let got =
            raw(cold.front.side_address.unwrap(), &format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n")).await;
        assert!(got.starts_with(&format!("HTTP/1.1 {want}")), "{path}: {got}");
    }
}

#[test]
fn the_description_names_what_is_served() {
    let text = include_str!("../../../docs/openapi/knowledge.yaml");
    for word in [
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
        assert!(text.contains(word), "{word} is missing in docs/openapi/knowledge.yaml");
    }
}
