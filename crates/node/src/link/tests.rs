//! One connection to a video server, over real sockets.

use super::*;
use crate::messages::MAX_QUEUED_EVENTS;
use tokio::net::TcpListener;

/// Connects a link. Returns the server's end, the link's handle and the queue of its events.
async fn connected_link() -> (TcpStream, LinkHandle, mpsc::Receiver<LoopEvent>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (event_tx, mut event_rx) = mpsc::channel(MAX_QUEUED_EVENTS);
    let target = LinkTarget { id: LinkId(1), address, connect_timeout: Duration::from_secs(5) };
    let handle = spawn(target, None, event_tx);
    let (server, _) = listener.accept().await.unwrap();
    assert!(matches!(event_rx.recv().await, Some(LoopEvent::LinkUp(LinkId(1)))));
    (server, handle, event_rx)
}

/// A release that arrived just as the connection was closed here used to be lost.
#[tokio::test]
async fn lines_received_while_closing_are_read() {
    let (mut server, handle, mut event_rx) = connected_link().await;
    assert!(handle.close(Duration::from_secs(1)));
    // The server has not acted on the close yet when it writes the line.
    assert_eq!(server.read(&mut [0]).await.unwrap(), 0);
    server.write_all(&lines::Line::finish("9b", 16).encode()).await.unwrap();
    let Some(LoopEvent::LineReceived(_, line)) = event_rx.recv().await else { panic!("the line is lost") };
    assert_eq!((&*line.sid, line.cause), ("9b", Some(16)));
    drop(server);
    assert!(matches!(event_rx.recv().await, Some(LoopEvent::LinkDown(_, LinkEndReason::Disconnected, _))));
}

/// The server sends a line but reads nothing, so that a write blocks.
#[tokio::test]
async fn lines_received_during_a_blocked_write_are_read() {
    let (mut server, handle, mut event_rx) = connected_link().await;
    assert!(handle.write(vec![b'x'; 64 << 20].into()));
    assert_eq!(
        server.read(&mut [0]).await.unwrap(),
        1,
        "the write has begun, and more waits than the system accepts"
    );
    server.write_all(&lines::Line::finish("9b", 16).encode()).await.unwrap();
    let Some(LoopEvent::LineReceived(_, line)) = event_rx.recv().await else { panic!("the line is lost") };
    assert_eq!((&*line.sid, line.cause), ("9b", Some(16)));
    // The write was not abandoned in order to read the line: it continues.
    assert!(server.read_exact(&mut vec![0; (64 << 20) - 1]).await.is_ok());
}

/// An answer and a reset arrive before the connection's task runs, and then a write fails: the answer must
/// still be read.
#[tokio::test]
async fn lines_received_before_a_reset_are_read_although_a_write_fails() {
    let (server, handle, mut event_rx) = connected_link().await;
    // Blocking calls only, so that the connection's task does not run before the reset.
    let server = server.into_std().unwrap();
    std::io::Write::write_all(&mut &server, &lines::Line::finish("9b", 16).encode()).unwrap();
    SockRef::from(&server).set_linger(Some(Duration::ZERO)).unwrap();
    drop(server);
    assert!(handle.write(lines::Line::finish("9c", 31).encode()));
    let Some(LoopEvent::LineReceived(_, line)) = event_rx.recv().await else { panic!("the line is lost") };
    assert_eq!(&*line.sid, "9b");
    let Some(LoopEvent::LinkDown(_, LinkEndReason::Disconnected, unread)) = event_rx.recv().await else {
        panic!("the link is not down")
    };
    assert_eq!(unread.iter().map(|l| &*l.sid).collect::<Vec<_>>(), ["9c"]);
}

/// After a connect time-out the system must abort the connection attempt too: nothing connects later, and no
/// byte is sent.
#[tokio::test]
async fn connect_timeout_aborts_the_connection_attempt() {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    // One connection fills the backlog of a listener that accepts nothing; further SYNs are not answered.
    let _queued = TcpStream::connect(address).await.unwrap();
    let is_connecting = || {
        let entry = format!(":{:04X} 02 ", address.port()); // SYN_SENT
        std::fs::read_to_string("/proc/self/net/tcp").unwrap().contains(&entry)
    };
    let (event_tx, mut event_rx) = mpsc::channel(MAX_QUEUED_EVENTS);
    let target = LinkTarget { id: LinkId(1), address, connect_timeout: Duration::from_millis(100) };
    let _handle = spawn(target, None, event_tx);
    while !is_connecting() {
        tokio::task::yield_now().await;
    }
    let Some(LoopEvent::LinkDown(LinkId(1), reason, _)) = event_rx.recv().await else {
        panic!("the link is up")
    };
    assert_eq!((reason, is_connecting()), (LinkEndReason::ConnectTimeout, false));
}

/// Guards against releases that are told again long after they were read: a batch of which nothing was written, as its only
/// set-up was obsolete, kept all later ones from counting as read.
#[test]
fn releases_count_as_read_after_a_batch_of_which_nothing_was_written() {
    let (mut recent_writes, start) = (RecentWrites::default(), Instant::now());
    recent_writes.begin_batch(start, &[]);
    for (n, sid) in ["9b", "9c"].into_iter().enumerate() {
        let now = start + Duration::from_secs(2 * n as u64);
        recent_writes.begin_batch(now, &lines::Line::finish(sid, 31).encode());
        recent_writes.finish_batch(now);
    }
    let unread = recent_writes.unread_releases(start + Duration::from_millis(2_500));
    assert_eq!(unread.iter().map(|line| &*line.sid).collect::<Vec<_>>(), ["9c"]);
}
