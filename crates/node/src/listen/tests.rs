//! Behaviour of a connection's task when bytes are queued, the viewer disconnects or the event loop drops its
//! handle.

use super::*;
use crate::viewer_conn::{ReceivedBatch, ViewerMemory, MAX_QUEUED_BYTES};
use bytes::Bytes;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const PING: &[u8] = b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n";
const RESPONSE: &[u8] = b"RTSP/1.0 200 OK\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n";
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

struct Fixture {
    address: std::net::SocketAddr,
    event_rx: mpsc::Receiver<LoopEvent>,
    ready_rx: mpsc::Receiver<ConnId>,
}

impl Fixture {
    /// Starts a listener with that many permits and with small socket buffers.
    async fn new(permits: usize) -> Fixture {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        SockRef::from(&listener).set_send_buffer_size(4 * 1024).unwrap();
        let address = listener.local_addr().unwrap();
        let (event_tx, event_rx) = mpsc::channel(8);
        let (ready_tx, ready_rx) = mpsc::channel(64);
        tokio::spawn(accept(
            listener,
            Arc::new(Semaphore::new(permits)),
            event_tx,
            ReadyNotifier::new(ready_tx, ViewerMemory::new(None)),
        ));
        Fixture { address, event_rx, ready_rx }
    }

    async fn connect(&mut self) -> (TcpStream, ViewerHandle) {
        let client = TcpStream::connect(self.address).await.unwrap();
        SockRef::from(&client).set_recv_buffer_size(4 * 1024).unwrap();
        let Some(LoopEvent::ViewerConnected(_, handle)) = self.event_rx.recv().await else {
            panic!("no connection event")
        };
        (client, handle)
    }
}

async fn read_until_close(client: &mut TcpStream) -> Vec<u8> {
    let mut received = Vec::new();
    // A reset counts as a close here.
    let _ = tokio::time::timeout(TEST_TIMEOUT, client.read_to_end(&mut received)).await.expect("a close");
    received
}

/// The event loop evicts an idle connection just after it queued a response; the response used to be dropped
/// with the task.
#[tokio::test]
async fn queued_bytes_are_written_after_the_handle_is_dropped() {
    let mut fixture = Fixture::new(8).await;
    for refused in [false, true] {
        let (mut client, handle) = fixture.connect().await;
        assert!(handle.write(Bytes::from_static(RESPONSE)));
        if refused {
            assert!(handle.close());
        }
        drop(handle);
        assert_eq!(read_until_close(&mut client).await, RESPONSE, "refused: {refused}");
    }
}

/// A client that closes its side after a request still reads the response.
#[tokio::test]
async fn response_is_written_after_a_half_close() {
    let mut fixture = Fixture::new(8).await;
    let (mut client, handle) = fixture.connect().await;
    client.write_all(PING).await.unwrap();
    client.shutdown().await.unwrap();
    let mut received = 0;
    loop {
        tokio::time::timeout(TEST_TIMEOUT, fixture.ready_rx.recv()).await.expect("a notification").unwrap();
        let ReceivedBatch { items, read_closed } = handle.conn.take_received();
        received += items.len();
        if read_closed {
            break;
        }
    }
    assert_eq!(received, 1);
    assert!(handle.write(Bytes::from_static(RESPONSE)));
    drop(handle);
    assert_eq!(read_until_close(&mut client).await, RESPONSE);
}

/// A lingering connection is closed early if another connection needs its permit.
#[tokio::test]
async fn lingering_connection_releases_its_permit_when_the_handle_is_dropped() {
    let mut fixture = Fixture::new(1).await;
    let (mut client, handle) = fixture.connect().await;
    assert!(handle.write(Bytes::from_static(RESPONSE)) && handle.close());
    let mut received = vec![0; RESPONSE.len()];
    client.read_exact(&mut received).await.unwrap();
    let mut next = TcpStream::connect(fixture.address).await.unwrap();
    assert!(fixture.event_rx.try_recv().is_err(), "there is no permit for the second connection yet");
    drop(handle);
    // Well before the linger time-out.
    let event = tokio::time::timeout(LINGER_TIMEOUT / 2, fixture.event_rx.recv()).await;
    let Ok(Some(LoopEvent::ViewerConnected(_, second))) = event else { panic!("the permit is still held") };
    assert!(second.write(Bytes::from_static(RESPONSE)));
    next.read_exact(&mut received).await.unwrap();
    drop(client);
}

/// The viewer reads nothing, so that writes block, and sends a TEARDOWN.
#[tokio::test]
async fn teardown_is_received_from_a_viewer_that_does_not_read() {
    const SID: &str = "00000000000000aa";
    let mut fixture = Fixture::new(8).await;
    let (mut client, handle) = fixture.connect().await;
    assert!(handle.write(vec![b'x'; MAX_QUEUED_BYTES].into()));
    assert!(!handle.conn.has_abandoned(SID));
    let teardown =
        format!("TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {SID}\r\nContent-Length: 0\r\n\r\n");
    client.write_all(teardown.as_bytes()).await.unwrap();
    tokio::time::timeout(TEST_TIMEOUT, fixture.ready_rx.recv()).await.expect("a notification").unwrap();
    assert!(handle.conn.has_abandoned(SID) && !handle.conn.has_abandoned("00000000000000ab"));
    assert!(!handle.write(Bytes::from_static(RESPONSE)), "too many bytes are queued");
}

/// More than the pending limit is sent: reading pauses until the event loop has taken the received items.
/// Nothing is lost, and the close is reported last.
#[tokio::test]
async fn reading_pauses_at_the_pending_limit_and_resumes() {
    const MESSAGES: usize = 20_000;
    let mut fixture = Fixture::new(8).await;
    let (mut client, handle) = fixture.connect().await;
    let writer = tokio::spawn(async move {
        client.write_all(&PING.repeat(MESSAGES)).await.unwrap();
        client.shutdown().await.unwrap();
        client
    });
    let (mut received, mut max_at_once) = (0, 0);
    loop {
        tokio::time::timeout(TEST_TIMEOUT, fixture.ready_rx.recv()).await.expect("a notification").unwrap();
        let ReceivedBatch { items, read_closed } = handle.conn.take_received();
        (received, max_at_once) = (received + items.len(), max_at_once.max(items.len()));
        if read_closed {
            break;
        }
    }
    assert_eq!(received, MESSAGES);
    assert!(max_at_once < MESSAGES / 4, "{max_at_once} at once");
    drop(writer.await);
}
