//! Whether a viewer is still there, at the gate of its set-up.

use super::*;
use crate::link::{self, Way};
use crate::mail::{First, Mail, Passed, MOST_MAILS};
use cloverhollow_net::{Clock, SendDecision};
use cloverhollow_platform::link_monitor::LinkId;
use cloverhollow_session::AttemptId;
use std::io::Write;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::time::timeout;

const LONG: Duration = Duration::from_secs(20);

/// A viewer's connection that nobody reads, and the client's end.
async fn unread() -> (Arc<TcpStream>, Arc<Viewer>, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = Arc::new(listener.accept().await.unwrap().0);
    let viewer = Arc::new(Viewer::new(ConnId(1), &stream, Bell::new(mpsc::channel(1).0)));
    (stream, viewer, client)
}

fn first(viewer: &Arc<Viewer>) -> First {
    let clock = Clock::start();
    let waits = Some(Waits { viewer: viewer.clone(), sid: "9b".into() });
    let until = clock.now() + LONG;
    let attempt = AttemptId { request: 1, number: 0 };
    First {
        attempt,
        line: Bytes::from_static(b"a line\n"),
        gate: Arc::new(SendDecision::default()),
        until,
        clock,
        waits,
    }
}

/// Waits for the system alone; no task runs meanwhile.
fn until_closed(viewer: &Viewer) {
    let begun = Instant::now();
    while !viewer.has_closed() {
        assert!(begun.elapsed() < LONG, "the close is not seen");
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[tokio::test]
async fn a_close_behind_what_was_not_read_is_seen_at_the_gate() {
    for how in ["full", "half", "reset"] {
        let (_stream, viewer, mut client) = unread().await;
        client.write_all(b"OPTIONS rtsp://media/ping RTSP/1.0\r\n").unwrap();
        assert_eq!(first(&viewer).pass(), Passed::Goes, "it is there");
        let held = first(&viewer);
        let rest = match how {
            "full" => {
                drop(client);
                None
            }
            "half" => {
                client.shutdown(std::net::Shutdown::Write).unwrap();
                Some(client)
            }
            _ => {
                socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).unwrap();
                drop(client);
                None
            }
        };
        until_closed(&viewer);
        assert_eq!(held.pass(), Passed::Moot, "{how}");
        drop(rest);
    }
}

/// The connection to the video server comes up for a viewer who has gone meanwhile: nothing is written on it.
#[tokio::test]
async fn what_waited_for_a_connection_is_not_written_for_one_who_has_left() {
    let (_stream, viewer, mut client) = unread().await;
    let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (mail, mut mails) = mpsc::channel(MOST_MAILS);
    let way = Way { id: LinkId(1), address: server.local_addr().unwrap(), connect: LONG };
    let hold = link::spawn(way, Some(first(&viewer)), mail);
    client.write_all(b"x").unwrap();
    drop(client);
    until_closed(&viewer);
    let (stream, _) = server.accept().await.unwrap();
    assert!(matches!(timeout(LONG, mails.recv()).await, Ok(Some(Mail::Up(_)))));
    assert!(matches!(timeout(LONG, mails.recv()).await, Ok(Some(Mail::Unsent(..)))));
    drop(hold);
    let mut got = Vec::new();
    let mut stream = stream;
    let _ = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut got).await;
    assert!(got.is_empty(), "{got:?}");
}
