//! Malformed and excessive input at the viewers' address: it is refused by status, bounded, and does not
//! affect the next viewer.

mod common;

use common::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[tokio::test]
async fn malformed_and_oversized_requests_get_their_status_and_a_close() {
    let peer = Peer::start(Does::Plays).await;
    let s = over(
        &[&peer],
        "listen: {address: \"127.0.0.1:0\", head_bytes: 600, header_lines: 10, report_bytes: 100}",
    )
    .await;
    let long = format!("GET /club/clip/{} HTTP/1.1\r\nhost: f\r\n\r\n", "x".repeat(700));
    let many = format!("GET /a HTTP/1.1\r\nhost: f\r\n{}\r\n", "a: b\r\n".repeat(20));
    let body = format!("POST /cmcd HTTP/1.1\r\nhost: f\r\ncontent-length: 500\r\n\r\n{}", "x".repeat(500));
    let cases: [(&str, &str); 13] = [
        ("nonsense\r\n\r\n", "400"),
        ("GET / HTTP/1.1\nhost: f\n\n", "400"),
        ("GET / HTTP/1.1\r\nhost: f\r\na: b\r\n folded\r\n\r\n", "400"),
        ("GET / HTTP/1.1\r\n\r\n", "400"),
        ("POST /cmcd HTTP/1.1\r\nhost: f\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nx", "400"),
        ("POST /cmcd HTTP/1.1\r\nhost: f\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\nx", "400"),
        ("POST /cmcd HTTP/1.1\r\nhost: f\r\ntransfer-encoding: gzip\r\n\r\n", "501"),
        ("POST /cmcd HTTP/1.1\r\nhost: f\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", "400"),
        ("GET / HTTP/3.0\r\nhost: f\r\n\r\n", "505"),
        (&long, "431"),
        (&many, "431"),
        (&body, "413"),
        ("POST /cmcd HTTP/1.1\r\nhost: f\r\nconnection: close\r\ncontent-type: text/html\r\ncontent-length: 1\r\n\r\nx", "400"),
    ];
    for (text, want) in cases {
        let got = raw(s.address, text).await;
        assert!(got.starts_with(&format!("HTTP/1.1 {want} ")), "{text:?}: wanted {want}, got {got:?}");
        assert!(got.contains("connection: close"), "{got:?}");
        assert_eq!(got.matches("HTTP/1.1 ").count(), 1, "one answer: {got:?}");
    }
    let got = raw(s.address, &get("/club/clip/t1/0", &sid("after"))).await;
    assert!(got.starts_with("HTTP/1.1 200"), "the next viewer is served: {got}");
}

#[tokio::test]
async fn a_slow_head_gets_408_and_an_idle_connection_is_closed_without_a_word() {
    let peer = Peer::start(Does::Plays).await;
    let s = over(&[&peer], "listen: {address: \"127.0.0.1:0\", head_ms: 150, idle_ms: 400}").await;
    let mut slow = TcpStream::connect(s.address).await.unwrap();
    slow.write_all(b"GET /club/clip/t1/0 HTTP/1.1\r\nhost:").await.unwrap();
    let got = read_all(&mut slow).await;
    assert!(got.starts_with("HTTP/1.1 408"), "{got}");
    let mut idle = TcpStream::connect(s.address).await.unwrap();
    assert_eq!(read_all(&mut idle).await, "");
}

#[tokio::test]
async fn a_connection_past_the_cap_gets_503_at_once_and_room_comes_back() {
    let peer = Peer::start(Does::Plays).await;
    let s = over(&[&peer], "listen: {address: \"127.0.0.1:0\", connections: 2}").await;
    let (one, two) =
        (TcpStream::connect(s.address).await.unwrap(), TcpStream::connect(s.address).await.unwrap());
    let mut third = TcpStream::connect(s.address).await.unwrap();
    let got = read_all(&mut third).await;
    assert!(got.starts_with("HTTP/1.1 503") && got.contains("retry-after"), "{got}");
    drop((one, two));
    let again = async {
        loop {
            let got = raw(s.address, &get("/club/clip/t1/0", &sid("x"))).await;
            if got.starts_with("HTTP/1.1 200") {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(LONG, again).await.expect("room again");
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let peer = Peer::start(Does::Plays).await;
    let s = over(&[&peer], "").await;
    let one = format!("GET /club/clip/t1/0 HTTP/1.1\r\nhost: f\r\n{}\r\n", sid("x"));
    let two = get("/club/clip/t1/1", "cmcd-session: sid=\"x\"\r\n");
    let got = raw(s.address, &(one + &two)).await;
    let (first, second) = (got.find("play").expect("the set-up"), got.rfind("ok").expect("the object"));
    assert!(first < second && got.matches("HTTP/1.1 200").count() == 2, "{got}");
}

#[tokio::test]
async fn garbage_on_many_connections_leaves_the_front_serving() {
    let peer = Peer::start(Does::Plays).await;
    let s = over(&[&peer], "").await;
    // The same input in each run: a linear congruential generator with a fixed seed.
    let mut state = 0x2545_f491_4f6c_dd1d_u64;
    for _ in 0..200 {
        let bytes: Vec<u8> = (0..64)
            .map(|_| {
                state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                b"GET /a\r\n:HTTP1. \x00\xff\"=,;%"[(state >> 33) as usize % 23]
            })
            .collect();
        let mut c = TcpStream::connect(s.address).await.unwrap();
        let _ = c.write_all(&bytes).await;
        let _ = c.shutdown().await;
        let mut sink = Vec::new();
        let _ = tokio::time::timeout(LONG, c.read_to_end(&mut sink)).await.expect("closed");
    }
    let got = raw(s.address, &get("/club/clip/t1/0", &sid("after"))).await;
    assert!(got.starts_with("HTTP/1.1 200"), "{got}");
}
