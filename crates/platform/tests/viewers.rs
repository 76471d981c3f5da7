//! Validation of viewers' requests against the settings, and the responses to invalid ones.

use bytes::BytesMut;
use cloverhollow_platform::rtsp::{self, Message};
use cloverhollow_platform::settings::{self, SiteSettings};
use cloverhollow_platform::viewer::{self, ViewerRequest};
use serde_json::json;
use std::time::Duration;

fn site() -> SiteSettings {
    settings::read(json!({
        "grades": [
            {"name": "paid", "deadline": 3000.0, "aim": 1000.0, "effect": "at_most_once", "importance": 3.0},
            {"name": "clip", "deadline": 3000.0, "aim": 800.0, "effect": "idempotent"},
        ],
        "tenants": [{"name": "acme"}, {"name": "other"}],
        "domain": {"level-kb": [200.0, 800.0], "ladder-worth": [0.3, 1.0]},
        "limits": {"retry-after": true, "max-retry-after": 700.0, "connect-timeout": 250.0},
        "new-key": {"is": ["passed", "over"]},
    }))
    .unwrap()
}

fn message(method: &str, uri: &str, headers: &[(&str, &str)], body: &[u8]) -> Message {
    let lines: String = headers.iter().map(|(n, v)| format!("{n}: {v}\r\n")).collect();
    let head = format!("{method} {uri} RTSP/1.0\r\n{lines}Content-Length: {}\r\n\r\n", body.len());
    let mut buf = BytesMut::from(head.as_str());
    buf.extend_from_slice(body);
    rtsp::decode(&mut buf).unwrap().unwrap()
}

const VALID: [(&str, &str); 6] = [
    ("CSeq", "1"),
    ("Session", "9b1f03aa5c7e2d41"),
    ("X-Service", "clip"),
    ("X-Setup-Ms", "1500"),
    ("X-Account", "other"),
    ("X-Route", "home:4;copies:3;top:1;viewer:00000000b4d65521;again:1;new:x"),
];

fn setup_with(name: &str, value: Option<&str>) -> Message {
    let headers = VALID.iter().filter(|(n, _)| *n != name).copied().chain(value.map(|v| (name, v)));
    message("SETUP", "rtsp://media/7f3a9c21e0b4d655", &headers.collect::<Vec<_>>(), b"v=0\r\n")
}

#[test]
fn a_set_up_is_parsed_for_the_core_and_the_server() {
    let Ok(ViewerRequest::Setup(s)) = viewer::parse(setup_with("", None), &site()) else {
        panic!("rejected")
    };
    let a = &s.arrival;
    assert_eq!((&*s.sid, s.playing_at, a.title), ("9b1f03aa5c7e2d41", None, 0x7f3a_9c21_e0b4_d655));
    assert_eq!(
        (a.class, a.tenant, a.max_rung, a.first_cell, a.cell_count, a.repeated),
        (1, Some(1), 1, 4, 3, true)
    );
    assert_eq!(a.max_wait, Duration::from_millis(1500));
    assert_eq!(
        (&*a.payload.class, &*a.payload.title, &*a.payload.description),
        ("clip", "7f3a9c21e0b4d655", "v=0\r\n")
    );
}

/// Guards against rejecting the hand-over of a session, which states a waiting time of over an hour. Its release then had
/// no recipient.
#[test]
fn a_hand_over_is_accepted_and_the_wait_is_bounded_by_the_class() {
    let route = Some("home:4;copies:3;top:1;viewer:0;at:s-00c41f7a");
    let Ok(ViewerRequest::Setup(s)) = viewer::parse(setup_with("X-Route", route), &site()) else {
        panic!("rejected")
    };
    assert_eq!(s.playing_at.as_deref(), Some("s-00c41f7a"));
    let Ok(ViewerRequest::Setup(s)) = viewer::parse(setup_with("X-Setup-Ms", Some("4294967")), &site())
    else {
        panic!("rejected")
    };
    assert_eq!(s.arrival.max_wait, Duration::from_secs(3));
}

#[test]
fn invalid_requests_are_rejected_with_a_reply_target() {
    let invalid = [
        ("CSeq", None),
        ("CSeq", Some("one")),
        ("Session", None),
        ("Session", Some("9b1f03aa")),
        ("Session", Some("9b1f03aa5c7e2d4x")),
        ("X-Service", None),
        ("X-Service", Some("gold")),
        ("X-Account", Some("nobody")),
        ("X-Setup-Ms", None),
        ("X-Setup-Ms", Some("-5")),
        ("X-Setup-Ms", Some("99999999999")),
        ("X-Setup-Ms", Some("soon")),
        ("X-Route", Some("home")),
        ("X-Route", Some("home:-1")),
        ("X-Route", Some("home:1e9")),
        ("X-Route", Some("copies:99999999999")),
        ("X-Route", Some("top:x")),
        ("X-Route", Some("again:2")),
    ];
    for (name, value) in invalid {
        let error = viewer::parse(setup_with(name, value), &site()).expect_err(&format!("{name} {value:?}"));
        let response = viewer::error_response(400, &error.reply_to);
        assert!(response.starts_with(b"RTSP/1.0 400 "), "{name} {value:?}");
    }
    let title = message("SETUP", "rtsp://media/none", &VALID, b"");
    let elsewhere = message("SETUP", "rtsp://other/1", &VALID, b"");
    let not_utf8 = message("SETUP", "rtsp://media/1", &VALID, b"\xff\xfe");
    let two_sessions =
        message("SETUP", "rtsp://media/1", &[&VALID[..], &[("Session", "9b1f03aa5c7e2d42")]].concat(), b"");
    for bad in [title, elsewhere, not_utf8, two_sessions] {
        assert!(viewer::parse(bad, &site()).is_err());
    }
}

#[test]
fn pings_teardowns_and_responses_are_distinguished() {
    let site = site();
    let parse = |m| viewer::parse(m, &site).unwrap();
    let ping = parse(message("OPTIONS", "rtsp://media/ping", &[("CSeq", "3")], b""));
    assert!(matches!(ping, ViewerRequest::Ping { cseq, sid: None } if cseq == "3"));
    let teardown =
        parse(message("TEARDOWN", "rtsp://media/x", &[("CSeq", "2"), ("Session", "9b1f03aa5c7e2d41")], b""));
    assert!(matches!(teardown, ViewerRequest::Teardown { sid, .. } if &*sid == "9b1f03aa5c7e2d41"));
    let mut response = BytesMut::from(&viewer::ok_response("2", None)[..]);
    assert!(matches!(parse(rtsp::decode(&mut response).unwrap().unwrap()), ViewerRequest::NoAction));
    assert!(viewer::parse(message("TEARDOWN", "rtsp://media/x", &[("CSeq", "2")], b""), &site).is_err());
}

#[test]
fn a_refusal_has_a_retry_after_header_unless_the_delay_is_zero() {
    let text = |retry_after| String::from_utf8(viewer::refusal_response("9b", retry_after).to_vec()).unwrap();
    assert!(text(Duration::from_millis(700)).contains("\r\nRetry-After-Ms: 700\r\n"));
    assert!(!text(Duration::ZERO).contains("Retry-After"));
}
