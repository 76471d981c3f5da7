//! Clients that send what can't be used. Each is owed a refusal, an error or a close.

use crate::exchange::{Log, Seen};
use crate::fronts::{Fronts, Phase};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest that one waits for its answer or close; past the limit of the rule, so that a late one is seen.
const WAIT: Duration = Duration::from_secs(6);
/// Bytes of a flood.
const FLOOD: usize = 1 << 20;
/// Set-ups that are taken back at once.
const TAKEN_BACK: u64 = 100;

fn setup(id: u64, class: &str, wait: &str, route: &str, length: &str) -> String {
    format!(
        "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: {id:016x}\r\nX-Service: {class}\r\n\
         X-Setup-Ms: {wait}\r\nX-Route: {route}\r\nContent-Length: {length}\r\n\r\n"
    )
}

/// What one of them sends, and its kind.
fn message(draw: u64) -> (&'static str, Vec<u8>) {
    let id = draw | 1 << 63;
    let route = "home:0;copies:1;top:1";
    match draw % 9 {
        0 => ("noise", b"\x00\x01\xfe\xff noise\r\n\r\n".to_vec()),
        1 => ("another protocol", b"GET / HTTP/1.1\r\nHost: a\r\n\r\n".to_vec()),
        2 => ("a negative length", setup(id, "none", "1500", route, "-1").into_bytes()),
        3 => ("a huge length", setup(id, "none", "1500", route, "60000000").into_bytes()),
        4 => ("a class that does not exist", setup(id, "none", "1500", route, "0").into_bytes()),
        5 => ("a figure out of range", setup(id, "none", "1500", "home:-4;copies:x", "0").into_bytes()),
        6 => ("half a message", b"SETUP rtsp://media/7f RTSP/1.0\r\nCSeq: 1\r\n".to_vec()),
        7 => ("a message without end", vec![b'x'; FLOOD]),
        _ => {
            let back = |n: u64| {
                let id = id.wrapping_add(n);
                setup(id, "none", "1500", route, "0")
                    + &format!("TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {id:016x}\r\nContent-Length: 0\r\n\r\n")
            };
            ("many that are taken back", (0..TAKEN_BACK).map(back).collect::<String>().into_bytes())
        }
    }
}

/// One of them, drawn.
pub(crate) async fn send(fronts: Arc<Fronts>, log: Arc<Log>, front: usize, draw: u64) {
    if fronts.phase(front) != Phase::Open {
        return;
    }
    let Ok(Ok(mut stream)) = timeout(WAIT, TcpStream::connect(fronts.address(front))).await else { return };
    let begun = log.now();
    let (kind, bytes) = message(draw);
    let answered = async {
        // It may be closed before all of it is taken.
        let _ = stream.write_all(&bytes).await;
        let _ = stream.read(&mut [0; 64]).await;
    };
    let took = timeout(WAIT, answered).await.is_ok().then(|| log.now() - begun);
    log.put(Seen::BadClient { front, kind, took });
}
