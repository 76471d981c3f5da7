//! What viewers' messages ask for, against settings; and what those that can't be used get.

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

const GOOD: [(&str, &str); 6] = [
    ("CSeq", "1"),
    ("Session", "9b1f03aa5c7e2d41"),
    ("X-Service", "clip"),
    ("X-Setup-Ms", "1500"),
    ("X-Account", "other"),
    ("X-Route", "home:4;copies:3;top:1;viewer:00000000b4d65521;again:1;new:x"),
];

fn with(name: &str, value: Option<&str>) -> Message {
    let changed = GOOD.iter().filter(|(n, _)| *n != name).copied().chain(value.map(|v| (name, v)));
    message("SETUP", "rtsp://media/7f3a9c21e0b4d655", &changed.collect::<Vec<_>>(), b"v=0\r\n")
}

#[test]
fn a_set_up_carries_all_that_the_core_and_the_server_need() {
    let Ok(ViewerRequest::Setup(s)) = viewer::parse(with("", None), &site()) else { panic!("refused") };
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

/// Seen on sockets: a session that is handed over names a waiting time of over an hour. It was refused, and its end
/// had nobody to go to.
#[test]
fn a_session_that_is_handed_over_is_taken_and_no_viewer_waits_longer_than_its_class() {
    let route = Some("home:4;copies:3;top:1;viewer:0;at:s-00c41f7a");
    let Ok(ViewerRequest::Setup(s)) = viewer::parse(with("X-Route", route), &site()) else {
        panic!("refused")
    };
    assert_eq!(s.playing_at.as_deref(), Some("s-00c41f7a"));
    let Ok(ViewerRequest::Setup(s)) = viewer::parse(with("X-Setup-Ms", Some("4294967")), &site()) else {
        panic!("refused")
    };
    assert_eq!(s.arrival.max_wait, Duration::from_secs(3));
}

#[test]
fn what_can_not_be_used_is_refused_and_says_whom() {
    let bad = [
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
    for (name, value) in bad {
        let unusable = viewer::parse(with(name, value), &site()).expect_err(&format!("{name} {value:?}"));
        let text = viewer::error_response(400, &unusable.reply_to);
        assert!(text.starts_with(b"RTSP/1.0 400 "), "{name} {value:?}");
    }
    let title = message("SETUP", "rtsp://media/none", &GOOD, b"");
    let elsewhere = message("SETUP", "rtsp://other/1", &GOOD, b"");
    let noise = message("SETUP", "rtsp://media/1", &GOOD, b"\xff\xfe");
    let twice =
        message("SETUP", "rtsp://media/1", &[&GOOD[..], &[("Session", "9b1f03aa5c7e2d42")]].concat(), b"");
    for bad in [title, elsewhere, noise, twice] {
        assert!(viewer::parse(bad, &site()).is_err());
    }
}

#[test]
fn tests_ends_and_answers_are_told_apart() {
    let site = site();
    let read = |m| viewer::parse(m, &site).unwrap();
    let test = read(message("OPTIONS", "rtsp://media/ping", &[("CSeq", "3")], b""));
    assert!(matches!(test, ViewerRequest::Ping { cseq, sid: None } if cseq == "3"));
    let end =
        read(message("TEARDOWN", "rtsp://media/x", &[("CSeq", "2"), ("Session", "9b1f03aa5c7e2d41")], b""));
    assert!(matches!(end, ViewerRequest::Teardown { sid, .. } if &*sid == "9b1f03aa5c7e2d41"));
    let mut heard = BytesMut::from(&viewer::ok_response("2", None)[..]);
    assert!(matches!(read(rtsp::decode(&mut heard).unwrap().unwrap()), ViewerRequest::NoAction));
    assert!(viewer::parse(message("TEARDOWN", "rtsp://media/x", &[("CSeq", "2")], b""), &site).is_err());
}

#[test]
fn a_refusal_says_when_to_come_back_where_a_hold_off_is_followed() {
    let text = |after| String::from_utf8(viewer::refusal_response("9b", after).to_vec()).unwrap();
    assert!(text(Duration::from_millis(700)).contains("\r\nRetry-After-Ms: 700\r\n"));
    assert!(!text(Duration::ZERO).contains("Retry-After"));
}
