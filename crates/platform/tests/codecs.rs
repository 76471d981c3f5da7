//! Codecs of RTSP messages and JSON lines: complete, fragmented, malformed and oversized input.

use bytes::{Bytes, BytesMut};
use cloverhollow::SessionReport;
use cloverhollow_platform::{lines, rtsp, server_reports};
use proptest::prelude::*;

const SETUP: &str =
    "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: 9b1f03aa5c7e2d41\r\n\
                     X-Service: paid\r\nContent-Length: 5\r\n\r\nv=0\r\n";

fn setup(head: &str) -> BytesMut {
    format!("SETUP rtsp://media/1 RTSP/1.0\r\nCSeq: 1\r\nSession: 9b1f03aa5c7e2d41\r\n{head}\r\n\r\n")
        .as_str()
        .into()
}

#[test]
fn messages_are_decoded_from_fragments_of_any_size() {
    let twice = SETUP.repeat(2);
    for size in 1..twice.len() {
        let (mut buf, mut found) = (BytesMut::new(), Vec::new());
        for fragment in twice.as_bytes().chunks(size) {
            buf.extend_from_slice(fragment);
            while let Some(message) = rtsp::decode(&mut buf).unwrap() {
                found.push(message);
            }
        }
        assert_eq!((found.len(), buf.len()), (2, 0), "fragments of {size} bytes");
        assert_eq!(found[0].body, "v=0\r\n");
        assert_eq!(found[1].header("session"), Some("9b1f03aa5c7e2d41"));
    }
}

#[test]
fn invalid_content_lengths_are_rejected_with_a_reply_target() {
    let invalid = [
        "Content-Type: x",
        "Content-Length: 5\r\nContent-Length: 5",
        "Content-Length: -1",
        "Content-Length: +5",
        "Content-Length: 5 5",
        "Content-Length:",
        "Content-Length: 0x10",
    ];
    for head in invalid {
        let error = rtsp::decode(&mut setup(head)).unwrap_err();
        assert!(matches!(error, rtsp::Error::Syntax { .. }), "{head}: {error}");
        assert_eq!(error.reply_target().session.as_deref(), Some("9b1f03aa5c7e2d41"), "{head}");
    }
    for head in
        ["Content-Length: 60000000", "Content-Length: 99999999999999999999999999", "Content-Length: 16384"]
    {
        let error = rtsp::decode(&mut setup(head)).unwrap_err();
        assert!(matches!(error, rtsp::Error::TooLong(_)), "{head}: rejected without waiting for the body");
    }
}

#[test]
fn bytes_that_cannot_begin_a_message_are_rejected_at_once() {
    for bad in ["GET / HTTP/1.1\r\n", "\u{0}\u{1}", "SETUPx", "setup "] {
        assert!(rtsp::decode(&mut bad.into()).is_err(), "{bad:?}");
    }
    for part in ["", "S", "SETUP rtsp://media/1", "RTSP/1.0 2", "\r\n\r\nTEAR"] {
        assert_eq!(rtsp::decode(&mut part.into()), Ok(None), "{part:?}");
    }
    let endless = "SETUP rtsp://media/".to_owned() + &"x".repeat(rtsp::MAX_MESSAGE_BYTES);
    assert!(matches!(rtsp::decode(&mut endless.as_str().into()), Err(rtsp::Error::TooLong(_))));
    let many_headers = "A: 1\r\n".repeat(100) + "Content-Length: 0";
    assert!(rtsp::decode(&mut setup(&many_headers)).is_err());
    assert!(rtsp::decode(&mut setup("no name\r\nContent-Length: 0")).is_err());
    let mut not_utf8 = BytesMut::from("SETUP rtsp://media/1 RTSP/1.0\r\nA: ");
    not_utf8.extend_from_slice(b"\xff\xfe\r\n\r\n");
    assert!(rtsp::decode(&mut not_utf8).is_err());
}

#[test]
fn encoded_messages_and_lines_can_be_decoded() {
    let headers = [("Retry-After-Ms", "700".to_owned())];
    let mut buf = BytesMut::from(&rtsp::response(503, "1", Some("9b1f03aa5c7e2d41"), &headers, b"")[..]);
    let message = rtsp::decode(&mut buf).unwrap().unwrap();
    assert_eq!(message.start_line, rtsp::StartLine::Response { status: 503 });
    assert_eq!((message.header("Retry-After-Ms"), &message.body), (Some("700"), &Bytes::new()));
    let start =
        lines::Line { description: Some("a\r\n\"b\"".into()), ..lines::Line::new(lines::Verb::Start, "9b") };
    let start = start.with("class", "paid").with("left", 1500);
    assert_eq!(
        start.encode(),
        "{\"verb\":\"START\",\"tag\":\"9b\",\"opts\":{\"class\":\"paid\",\"left\":\"1500\"},\"blob\":\"a\\r\\n\\\"b\\\"\"}\n"
    );
    assert_eq!(lines::decode(&mut BytesMut::from(&start.encode()[..])), Ok(Some(start)));
}

#[test]
fn lines_are_bounded_and_field_values_are_strings_or_numbers() {
    let valid =
        "{\"verb\":\"FINISH\",\"tag\":\"9b\",\"opts\":{\"load\":\"x0:0.4\",\"value\":2.5},\"rc\":34}\n{";
    let mut buf = BytesMut::from(valid);
    let line = lines::decode(&mut buf).unwrap().unwrap();
    assert_eq!(
        (line.cause, line.field("load"), line.field("value")),
        (Some(34), Some("x0:0.4"), Some("2.5"))
    );
    assert_eq!(lines::decode(&mut buf), Ok(None));
    let bad = [
        "\n",
        "noise\n",
        "{\"verb\":\"FINISH\"}\n",
        "{\"verb\":\"OTHER\",\"tag\":\"9b\"}\n",
        "{\"verb\":\"FINISH\",\"tag\":\"9b\",\"opts\":{\"load\":[1]}}\n",
        "{\"verb\":\"FINISH\",\"tag\":\"9b\",\"rc\":1e99}\n",
        "{\"verb\":\"FINISH\",\"tag\":9}\n",
    ];
    for bad in bad {
        assert!(lines::decode(&mut bad.into()).is_err(), "{bad}");
    }
    assert_eq!(
        lines::decode(&mut BytesMut::from(&[b'x'; lines::MAX_LINE_BYTES][..])),
        Err(lines::LineError::TooLong)
    );
}

#[test]
fn load_and_session_reports_are_parsed_and_invalid_values_are_none() {
    let line = |name: &str, value: &str| lines::Line::new(lines::Verb::Finish, "9b").with(name, value);
    let load = server_reports::load_report(&line("load", "concurrent:40.971;x0:0.167;x1:1.456"));
    assert_eq!((load.link, load.rack, load.share), (Some(0.167), Some(1.456), None));
    for invalid in ["", "x0", "x0:", "x0:-1;x1:NaN", "x0:1e999", ";;:;x9:1"] {
        assert_eq!(server_reports::load_report(&line("load", invalid)), Default::default(), "{invalid}");
    }
    let report =
        |name: &str, value: &str| server_reports::session_report(&line("note", name).with("value", value));
    assert!(matches!(report("kept_up", "0.5"), Some(SessionReport::DeliveredShare(s)) if s == 0.5));
    assert!(matches!(report("tier", "2"), Some(SessionReport::Rung(2))));
    assert!(matches!(report("wire", "1.2"), Some(SessionReport::LinkLoad(x)) if x == 1.2));
    assert!(matches!(report("trunk", "0.4"), Some(SessionReport::UplinkLoad(x)) if x == 0.4));
    for (name, value) in [("wire", "x"), ("wire", "-1"), ("wire", "inf"), ("other", "1"), ("tier", "")] {
        assert!(report(name, value).is_none(), "{name} {value}");
    }
}

proptest! {
    /// Arbitrary bytes make a codec return an error at most; it neither panics nor reads past its buffer.
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..300), cut in 0usize..150) {
        let mut corrupted = SETUP.as_bytes().to_vec();
        corrupted.splice(cut.min(corrupted.len()).., bytes.clone());
        for input in [&bytes, &corrupted] {
            let mut buf = BytesMut::from(&input[..]);
            while let Ok(Some(_)) = rtsp::decode(&mut buf) {}
            let mut buf = BytesMut::from(&input[..]);
            while let Ok(Some(_)) = lines::decode(&mut buf) {}
        }
    }
}
