//! Decoders and encoders against RFC 9112: rejected and accepted messages, and independence of how the bytes
//! are split into reads.

use bytes::BytesMut;
use cloverhollow_http::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]))
}

/// Decoded frames as text, with adjacent data frames joined, or the first error.
fn decode_requests(pieces: &[&[u8]], limits: Limits) -> Result<Vec<String>, ParseError> {
    let (mut decoder, mut buf, mut out) = (RequestDecoder::new(limits), BytesMut::new(), Vec::new());
    for piece in pieces {
        buf.extend_from_slice(piece);
        while let Some(frame) = decoder.decode(&mut buf)? {
            match frame {
                RequestFrame::Head(h) => out.push(format!("{} {:?}", h.method.name(), h.target)),
                RequestFrame::Data(b) => match out.last_mut() {
                    Some(last) if last.starts_with("body ") => last.push_str(&String::from_utf8_lossy(&b)),
                    _ => out.push(format!("body {}", String::from_utf8_lossy(&b))),
                },
                RequestFrame::End => out.push("end".into()),
            }
        }
    }
    Ok(out)
}

fn decode_request(text: &str) -> Result<Vec<String>, ParseError> {
    decode_requests(&[text.as_bytes()], Limits::default())
}

#[test]
fn ambiguous_requests_are_rejected() {
    let cases = [
        ("GET / HTTP/1.1\nhost: a\n\n", ParseError::BareLineFeed),
        ("GET / HTTP/1.1\r\nhost: a\nx: y\r\n\r\n", ParseError::BareLineFeed),
        ("GET / HTTP/1.1\r\nhost: a\r\nx: y\r\n z\r\n\r\n", ParseError::FoldedHeader),
        (
            "GET / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 1\r\n\r\nx",
            ParseError::DuplicateContentLength,
        ),
        ("GET / HTTP/1.1\r\nhost: a\r\ncontent-length: 1, 1\r\n\r\nx", ParseError::InvalidContentLength),
        ("GET / HTTP/1.1\r\nhost: a\r\ncontent-length: +1\r\n\r\nx", ParseError::InvalidContentLength),
        (
            "GET / HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999999999999\r\n\r\n",
            ParseError::InvalidContentLength,
        ),
        (
            "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            ParseError::ContentLengthWithTransferEncoding,
        ),
        (
            "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip, chunked\r\n\r\n",
            ParseError::UnsupportedTransferEncoding,
        ),
        (
            "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\ntransfer-encoding: x\r\n\r\n",
            ParseError::UnsupportedTransferEncoding,
        ),
        ("POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n", ParseError::UnsupportedTransferEncoding),
        ("GET / HTTP/1.1\r\n\r\n", ParseError::InvalidHost),
        ("GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", ParseError::InvalidHost),
        ("GET / HTTP/2.0\r\nhost: a\r\n\r\n", ParseError::UnsupportedVersion),
        ("GET http://x/ HTTP/1.1\r\nhost: a\r\n\r\n", ParseError::Syntax("request target")),
        ("GET / HTTP/1.1\r\nhost : a\r\n\r\n", ParseError::Syntax("header name")),
        ("\r\n\r\n", ParseError::Syntax("empty first line")),
    ];
    for (text, error) in cases {
        assert_eq!(decode_request(text), Err(error), "{text:?}");
    }
}

#[test]
fn heads_over_a_limit_map_to_status_431() {
    let limits = Limits { max_head_bytes: 200, max_headers: 3, max_frame_bytes: 10 };
    let long = format!("GET /{} HTTP/1.1\r\nhost: a\r\n\r\n", "x".repeat(300));
    let error = decode_requests(&[long.as_bytes()], limits).unwrap_err();
    assert_eq!((error.status(), &error), (431, &ParseError::HeadTooLong(200)));
    let many = "GET / HTTP/1.1\r\nhost: a\r\na: 1\r\nb: 2\r\nc: 3\r\n\r\n";
    assert_eq!(decode_requests(&[many.as_bytes()], limits).unwrap_err().status(), 431);
    // A head that never ends is rejected at the limit and not buffered further.
    let endless = vec![b"x".as_slice(); 400];
    assert_eq!(decode_requests(&endless, limits).unwrap_err(), ParseError::HeadTooLong(200));
}

#[test]
fn bodies_are_decoded_by_length_and_by_chunks() {
    let by_length =
        "POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nhelloGET /b HTTP/1.1\r\nhost: h\r\n\r\n";
    assert_eq!(decode_request(by_length).unwrap(), ["POST /a", "body hello", "end", "GET /b", "end"]);
    let chunked = "POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\nt: 1\r\n\r\n";
    assert_eq!(decode_request(chunked).unwrap(), ["POST /a", "body hello", "end"]);
    let head = "POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
    for bad in ["zz\r\n", "3\r\nhello", "-1\r\n", "ffffffffffffffffff\r\n", "1\nx"] {
        assert!(decode_request(&format!("{head}{bad}")).is_err(), "{bad:?}");
    }
    assert!(decode_request(&format!("{head}{}", "1;".repeat(300))).is_err(), "a chunk line without end");
}

#[test]
fn response_framing_depends_on_request_method_and_status() {
    let read = |method: &Method, text: &str, closed: bool| {
        let (mut decoder, mut buf) = (ResponseDecoder::new(Limits::default()), BytesMut::from(text));
        decoder.set_request_method(method);
        let mut out = Vec::new();
        loop {
            let next = if closed { decoder.decode_eof(&mut buf) } else { decoder.decode(&mut buf) };
            match next {
                Ok(Some(ResponseFrame::Head(h))) => out.push(format!("{} {:?}", h.status, h.framing)),
                Ok(Some(ResponseFrame::Data(b))) => out.push(String::from_utf8_lossy(&b).into_owned()),
                Ok(Some(ResponseFrame::End)) => out.push("end".into()),
                Ok(None) => return out,
                Err(e) => {
                    out.push(format!("{e:?}"));
                    return out;
                }
            }
        }
    };
    let ok = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi";
    assert_eq!(read(&Method::Get, ok, false), ["200 Length(2)", "hi", "end"]);
    assert_eq!(
        read(&Method::Head, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n", false),
        ["200 Empty", "end"]
    );
    assert_eq!(read(&Method::Get, "HTTP/1.1 204 No\r\n\r\n", false), ["204 Empty", "end"]);
    let interim = format!("HTTP/1.1 103 Early\r\n\r\n{ok}");
    assert_eq!(read(&Method::Get, &interim, false), ["200 Length(2)", "hi", "end"]);
    assert_eq!(read(&Method::Get, "HTTP/1.1 200 OK\r\n\r\nhi", true), ["200 UntilClose", "hi", "end"]);
    assert_eq!(
        read(&Method::Get, "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhi", true),
        ["200 Length(9)", "hi", "UnexpectedEof"]
    );
    assert_eq!(read(&Method::Get, "HTTP/1.1 200", true), ["UnexpectedEof"]);
    assert!(read(&Method::Get, "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n", false)
        [0]
    .contains("DuplicateContentLength"));
}

#[test]
fn encoder_replaces_framing_headers_and_targets_parse() {
    let mut head = ResponseHead::new(200, 0);
    head.framing = Framing::UntilClose;
    head.headers.push("x-a", "1");
    head.headers.push("Connection", "keep-alive, x");
    let (mut encoder, mut buf) = (ResponseEncoder::default(), BytesMut::new());
    for frame in [
        ResponseFrame::Head(head),
        ResponseFrame::Data("hey".into()),
        ResponseFrame::Data("".into()),
        ResponseFrame::End,
    ] {
        encoder.encode(&frame, &mut buf);
    }
    let text = String::from_utf8(buf.to_vec()).unwrap();
    assert_eq!(text, "HTTP/1.1 200 OK\r\nx-a: 1\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhey\r\n0\r\n\r\n");
    let target = Target::parse("/a/b?CMCD=br%3D5&x=1".into()).unwrap();
    assert_eq!(
        (target.path(), target.query_argument("CMCD"), target.query_argument("y")),
        ("/a/b", Some("br%3D5"), None)
    );
    assert_eq!(percent_decode(&percent_encode("a\"b,c=é")).as_deref(), Some("a\"b,c=é"));
    assert_eq!(percent_decode("%ff"), None);
}

#[test]
fn decoding_does_not_depend_on_how_bytes_are_split() {
    let token = prop_oneof![
        Just("GET /a HTTP/1.1\r\n".to_string()),
        Just("POST /b HTTP/1.1\r\n".to_string()),
        Just("host: h\r\n".to_string()),
        Just("content-length: 3\r\n".to_string()),
        Just("transfer-encoding: chunked\r\n".to_string()),
        Just("\r\n".to_string()),
        Just("\n".to_string()),
        Just("abc".to_string()),
        Just("3\r\nabc\r\n".to_string()),
        Just("0\r\n\r\n".to_string()),
        "\\PC{0,5}".prop_map(|s| s),
    ];
    let texts = proptest::collection::vec(token, 0..14).prop_map(|v| v.concat().into_bytes());
    let limits = Limits { max_head_bytes: 120, max_headers: 4, max_frame_bytes: 2 };
    runner(3000)
        .run(&(texts, 1usize..9), |(bytes, size)| {
            let unsplit = decode_requests(&[&bytes], limits);
            let pieces: Vec<&[u8]> = bytes.chunks(size).collect();
            prop_assert_eq!(unsplit, decode_requests(&pieces, limits));
            let (mut decoder, mut buf) = (ResponseDecoder::new(limits), BytesMut::from(&bytes[..]));
            while let Ok(Some(_)) = decoder.decode_eof(&mut buf) {}
            Ok(())
        })
        .unwrap();
}
