//! Malformed and excessive input at the viewers' address: it is refused by status, bounded, and does not
//! affect the next viewer.

mod common;

use common::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[tokio::test]
async fn malformed_and_oversized_requests_get_their_status_and_a_close() {
    let server = TestServer::start(Script::Serves).await;
    let front = start_ready_front(
        &[&server],
        "listen: {address: \"127.0.0.1:0\", head_bytes: 600, header_lines: 10, report_bytes: 100}",
    )
    .await;
    let long_target = format!("GET /club/clip/{} HTTP/1.1\r\nhost: f\r\n\r\n", "x".repeat(700));
    let many_headers = format!("GET /a HTTP/1.1\r\nhost: f\r\n{}\r\n", "a: b\r\n".repeat(20));
    let long_body =
        format!("POST /cmcd HTTP/1.1\r\nhost: f\r\ncontent-length: 500\r\n\r\n{}", "x".repeat(500));
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
        (&long_target, "431"),
        (&many_headers, "431"),
        (&long_body, "413"),
        ("POST /cmcd HTTP/1.1\r\nhost: f\r\nconnection: close\r\ncontent-type: text/html\r\ncontent-length: 1\r\n\r\nx", "400"),
    ];
    for (request, expected_status) in cases {
        let got = send_raw(front.address, request).await;
        assert!(
            got.starts_with(&format!("HTTP/1.1 {expected_status} ")),
            "{request:?}: expected {expected_status}, got {got:?}"
        );
        assert!(got.contains("connection: close"), "{got:?}");
        assert_eq!(got.matches("HTTP/1.1 ").count(), 1, "exactly one response: {got:?}");
    }
    let got = send_raw(front.address, &get_request("/club/clip/t1/0", &session_headers("after"))).await;
    assert!(got.starts_with("HTTP/1.1 200"), "the next viewer is served: {got}");
}

#[tokio::test]
async fn slow_head_gets_408_and_idle_connection_closes_silently() {
    let server = TestServer::start(Script::Serves).await;
    let front =
        start_ready_front(&[&server], "listen: {address: \"127.0.0.1:0\", head_ms: 150, idle_ms: 400}").await;
    let mut slow = TcpStream::connect(front.address).await.unwrap();
    slow.write_all(b"GET /club/clip/t1/0 HTTP/1.1\r\nhost:").await.unwrap();
    let got = read_all(&mut slow).await;
    assert!(got.starts_with("HTTP/1.1 408"), "{got}");
    let mut idle = TcpStream::connect(front.address).await.unwrap();
    assert_eq!(read_all(&mut idle).await, "");
}

#[tokio::test]
async fn connection_over_the_limit_gets_503_until_a_slot_is_free() {
    let server = TestServer::start(Script::Serves).await;
    let front = start_ready_front(&[&server], "listen: {address: \"127.0.0.1:0\", connections: 2}").await;
    let (one, two) =
        (TcpStream::connect(front.address).await.unwrap(), TcpStream::connect(front.address).await.unwrap());
    let mut third = TcpStream::connect(front.address).await.unwrap();
    let got = read_all(&mut third).await;
    assert!(got.starts_with("HTTP/1.1 503") && got.contains("retry-after"), "{got}");
    drop((one, two));
    let retry = async {
        loop {
            let got = send_raw(front.address, &get_request("/club/clip/t1/0", &session_headers("x"))).await;
            if got.starts_with("HTTP/1.1 200") {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, retry).await.expect("a slot becomes free");
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let server = TestServer::start(Script::Serves).await;
    let front = start_ready_front(&[&server], "").await;
    let one = format!("GET /club/clip/t1/0 HTTP/1.1\r\nhost: f\r\n{}\r\n", session_headers("x"));
    let two = get_request("/club/clip/t1/1", "cmcd-session: sid=\"x\"\r\n");
    let got = send_raw(front.address, &(one + &two)).await;
    let (first, second) = (
        got.find("play").expect("the response of the set-up"),
        got.rfind("ok").expect("the response of the object"),
    );
    assert!(first < second && got.matches("HTTP/1.1 200").count() == 2, "{got}");
}

#[tokio::test]
async fn front_keeps_serving_after_garbage_on_many_connections() {
    let server = TestServer::start(Script::Serves).await;
    let front = start_ready_front(&[&server], "").await;
    // The same input in each run: a linear congruential generator with a fixed seed.
    let mut state = 0x2545_f491_4f6c_dd1d_u64;
    for _ in 0..200 {
        let bytes: Vec<u8> = (0..64)
            .map(|_| {
                state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                b"GET /a\r\n:HTTP1. \x00\xff\"=,;%"[(state >> 33) as usize % 23]
            })
            .collect();
        let mut stream = TcpStream::connect(front.address).await.unwrap();
        let _ = stream.write_all(&bytes).await;
        let _ = stream.shutdown().await;
        let mut sink = Vec::new();
        let _ = tokio::time::timeout(TEST_TIMEOUT, stream.read_to_end(&mut sink))
            .await
            .expect("the front closes the connection");
    }
    let got = send_raw(front.address, &get_request("/club/clip/t1/0", &session_headers("after"))).await;
    assert!(got.starts_with("HTTP/1.1 200"), "{got}");
}
