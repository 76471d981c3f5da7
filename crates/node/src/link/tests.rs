//! One connection to a video server, on real sockets.

use super::*;
use crate::mail::MOST_MAILS;
use tokio::net::TcpListener;

/// A connection that is up: the server's end, the desk's hold and its mails.
async fn up() -> (TcpStream, Hold, mpsc::Receiver<Mail>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (mail, mut mails) = mpsc::channel(MOST_MAILS);
    let way = Way { id: LinkId(1), address, connect: Duration::from_secs(5) };
    let hold = spawn(way, None, mail);
    let (server, _) = listener.accept().await.unwrap();
    assert!(matches!(mails.recv().await, Some(Mail::Up(LinkId(1)))));
    (server, hold, mails)
}

/// Seen on sockets: a release that came in the instant in which the connection was closed here was never read.
#[tokio::test]
async fn what_comes_while_it_closes_is_read() {
    let (mut server, hold, mut mails) = up().await;
    assert!(hold.close(Duration::from_secs(1)));
    // Its close is on the way; what is written now was written before it was heard of.
    assert_eq!(server.read(&mut [0]).await.unwrap(), 0);
    server.write_all(&lines::Line::finish("9b", 16).encode()).await.unwrap();
    let Some(Mail::Line(_, line)) = mails.recv().await else { panic!("the line is lost") };
    assert_eq!((&*line.sid, line.cause), ("9b", Some(16)));
    drop(server);
    assert!(matches!(mails.recv().await, Some(Mail::Down(_, LinkEndReason::Disconnected, _))));
}

/// A server that reads nothing, and says something: its word is heard while the write waits.
#[tokio::test]
async fn what_comes_while_a_write_waits_is_read() {
    let (mut server, hold, mut mails) = up().await;
    assert!(hold.write(vec![b'x'; 64 << 20].into()));
    assert_eq!(
        server.read(&mut [0]).await.unwrap(),
        1,
        "the write has begun, and more than the system takes waits"
    );
    server.write_all(&lines::Line::finish("9b", 16).encode()).await.unwrap();
    let Some(Mail::Line(_, line)) = mails.recv().await else { panic!("the line is lost") };
    assert_eq!((&*line.sid, line.cause), ("9b", Some(16)));
    // Not because the write was given up: it goes on.
    assert!(server.read_exact(&mut vec![0; (64 << 20) - 1]).await.is_ok());
}

/// An answer, and the connection's reset right behind it, come while the task has no turn, and something is to be
/// written: the answer counts.
#[tokio::test]
async fn what_came_before_a_reset_is_read_though_the_write_fails() {
    let (server, hold, mut mails) = up().await;
    // Without a wait of this thread in between: the connection's task gets its turn after the reset.
    let server = server.into_std().unwrap();
    std::io::Write::write_all(&mut &server, &lines::Line::finish("9b", 16).encode()).unwrap();
    SockRef::from(&server).set_linger(Some(Duration::ZERO)).unwrap();
    drop(server);
    assert!(hold.write(lines::Line::finish("9c", 31).encode()));
    let Some(Mail::Line(_, line)) = mails.recv().await else { panic!("the line is lost") };
    assert_eq!(&*line.sid, "9b");
    let Some(Mail::Down(_, LinkEndReason::Disconnected, owed)) = mails.recv().await else {
        panic!("it is not down")
    };
    assert_eq!(owed.iter().map(|l| &*l.sid).collect::<Vec<_>>(), ["9c"]);
}

/// A connection that does not come up in time is let go by the system as well: nothing connects later, and no byte goes.
#[tokio::test]
async fn a_connection_that_comes_up_late_is_none() {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    // The queue of a listener that accepts nothing is full with one: who connects now is not answered.
    let _queued = TcpStream::connect(address).await.unwrap();
    let connecting = || {
        let at = format!(":{:04X} 02 ", address.port()); // SYN_SENT
        std::fs::read_to_string("/proc/self/net/tcp").unwrap().contains(&at)
    };
    let (mail, mut mails) = mpsc::channel(MOST_MAILS);
    let way = Way { id: LinkId(1), address, connect: Duration::from_millis(100) };
    let _hold = spawn(way, None, mail);
    while !connecting() {
        tokio::task::yield_now().await;
    }
    let Some(Mail::Down(LinkId(1), down, _)) = mails.recv().await else { panic!("it came up") };
    assert_eq!((down, connecting()), (LinkEndReason::ConnectTimeout, false));
}
