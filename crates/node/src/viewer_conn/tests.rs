//! Detection of viewers that have left before their set-up is sent.

use super::*;
use crate::link::{self, LinkTarget};
use crate::messages::{LoopEvent, PendingSetup, SendClaim, MAX_QUEUED_EVENTS};
use bytes::Bytes;
use cloverhollow_net::{Clock, SendDecision};
use cloverhollow_platform::link_monitor::LinkId;
use cloverhollow_session::AttemptId;
use std::io::Write;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::time::timeout;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Opens a viewer's connection that no task reads. Returns it with the client's end.
async fn unread_connection() -> (Arc<TcpStream>, Arc<ViewerConn>, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = Arc::new(listener.accept().await.unwrap().0);
    let conn = Arc::new(ViewerConn::new(
        ConnId(1),
        &stream,
        ReadyNotifier::new(mpsc::channel(1).0, ViewerMemory::new(None)),
    ));
    (stream, conn, client)
}

fn pending_setup(conn: &Arc<ViewerConn>) -> PendingSetup {
    let clock = Clock::start();
    let waiter = Some(SetupWaiter { conn: conn.clone(), sid: "9b".into() });
    let send_deadline = clock.now() + TEST_TIMEOUT;
    let attempt = AttemptId { request: 1, number: 0 };
    PendingSetup {
        attempt,
        line: Bytes::from_static(b"a line\n"),
        send_decision: Arc::new(SendDecision::default()),
        send_deadline,
        clock,
        waiter,
    }
}

/// Blocks until the system reports the close; no task runs in the meantime.
fn wait_until_closed(conn: &ViewerConn) {
    let started_at = Instant::now();
    while !conn.has_closed() {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "the close is not detected");
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[tokio::test]
async fn close_behind_unread_bytes_makes_a_set_up_obsolete() {
    for close in ["full", "half", "reset"] {
        let (_stream, conn, mut client) = unread_connection().await;
        client.write_all(b"OPTIONS rtsp://media/ping RTSP/1.0\r\n").unwrap();
        assert_eq!(pending_setup(&conn).claim_send(), SendClaim::Granted, "the viewer is connected");
        let setup = pending_setup(&conn);
        let half_closed = match close {
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
        wait_until_closed(&conn);
        assert_eq!(setup.claim_send(), SendClaim::Obsolete, "{close}");
        drop(half_closed);
    }
}

/// The viewer leaves while the connection to the video server is being made: nothing is written on it.
#[tokio::test]
async fn set_up_is_not_written_if_the_viewer_leaves_during_connect() {
    let (_stream, conn, mut client) = unread_connection().await;
    let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (event_tx, mut event_rx) = mpsc::channel(MAX_QUEUED_EVENTS);
    let target =
        LinkTarget { id: LinkId(1), address: server.local_addr().unwrap(), connect_timeout: TEST_TIMEOUT };
    let handle = link::spawn(target, Some(pending_setup(&conn)), event_tx);
    client.write_all(b"x").unwrap();
    drop(client);
    wait_until_closed(&conn);
    let (stream, _) = server.accept().await.unwrap();
    assert!(matches!(timeout(TEST_TIMEOUT, event_rx.recv()).await, Ok(Some(LoopEvent::LinkUp(_)))));
    assert!(matches!(timeout(TEST_TIMEOUT, event_rx.recv()).await, Ok(Some(LoopEvent::SetupNotSent(..)))));
    drop(handle);
    let mut received = Vec::new();
    let mut stream = stream;
    let _ = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut received).await;
    assert!(received.is_empty(), "{received:?}");
}
