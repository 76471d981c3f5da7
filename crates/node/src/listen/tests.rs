//! What a connection's task does with what is queued, as its viewer and the desk come and go.

use super::*;
use crate::viewer_conn::MOST_QUEUED;
use bytes::Bytes;
use socket2::SockRef;
use std::collections::VecDeque;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const TEST: &[u8] = b"OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n";
const ANSWER: &[u8] = b"RTSP/1.0 200 OK\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n";
const LONG: Duration = Duration::from_secs(20);

struct Rig {
    address: std::net::SocketAddr,
    mails: mpsc::Receiver<Mail>,
    rung: mpsc::Receiver<ConnId>,
}

impl Rig {
    /// With places for so many connections, and small buffers of the system.
    async fn new(places: usize) -> Rig {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        SockRef::from(&listener).set_send_buffer_size(4 * 1024).unwrap();
        let address = listener.local_addr().unwrap();
        let (mail, mails) = mpsc::channel(8);
        let (bell, rung) = mpsc::channel(64);
        tokio::spawn(accept(listener, Arc::new(Semaphore::new(places)), mail, Bell::new(bell)));
        Rig { address, mails, rung }
    }

    async fn open(&mut self) -> (TcpStream, ViewerHold) {
        let client = TcpStream::connect(self.address).await.unwrap();
        SockRef::from(&client).set_recv_buffer_size(4 * 1024).unwrap();
        let Some(Mail::Opened(_, hold)) = self.mails.recv().await else { panic!("it is not told") };
        (client, hold)
    }
}

async fn all_of(client: &mut TcpStream) -> Vec<u8> {
    let mut got = Vec::new();
    // A reset is an end too, here.
    let _ = tokio::time::timeout(LONG, client.read_to_end(&mut got)).await.expect("a close");
    got
}

/// The desk lets go of an idle connection where there are too many: an answer that it had queued in the same step was
/// dropped with the task.
#[tokio::test]
async fn what_is_queued_when_the_desk_lets_go_is_written_first() {
    let mut rig = Rig::new(8).await;
    for refused in [false, true] {
        let (mut client, hold) = rig.open().await;
        assert!(hold.write(Bytes::from_static(ANSWER)));
        if refused {
            assert!(hold.close());
        }
        drop(hold);
        assert_eq!(all_of(&mut client).await, ANSWER, "refused: {refused}");
    }
}

/// A client that has asked and closed its side still reads what it was answered.
#[tokio::test]
async fn what_was_answered_before_a_half_close_is_written() {
    let mut rig = Rig::new(8).await;
    let (mut client, hold) = rig.open().await;
    client.write_all(TEST).await.unwrap();
    client.shutdown().await.unwrap();
    let mut came = 0;
    loop {
        tokio::time::timeout(LONG, rig.rung.recv()).await.expect("it is told").unwrap();
        let (messages, ended) = hold.viewer.take();
        came += messages.len();
        if ended {
            break;
        }
    }
    assert_eq!(came, 1);
    assert!(hold.write(Bytes::from_static(ANSWER)));
    drop(hold);
    assert_eq!(all_of(&mut client).await, ANSWER);
}

/// One whose place is wanted is closed though what it still sends was to be read out.
#[tokio::test]
async fn one_that_is_read_out_gives_up_its_place() {
    let mut rig = Rig::new(1).await;
    let (mut client, hold) = rig.open().await;
    assert!(hold.write(Bytes::from_static(ANSWER)) && hold.close());
    let mut got = vec![0; ANSWER.len()];
    client.read_exact(&mut got).await.unwrap();
    let mut next = TcpStream::connect(rig.address).await.unwrap();
    assert!(rig.mails.try_recv().is_err(), "there is no place for it yet");
    drop(hold);
    // Well before it would have been read out.
    let told = tokio::time::timeout(LINGER / 2, rig.mails.recv()).await;
    let Ok(Some(Mail::Opened(_, second))) = told else { panic!("it has kept its place") };
    assert!(second.write(Bytes::from_static(ANSWER)));
    next.read_exact(&mut got).await.unwrap();
    drop(client);
}

/// It takes nothing of what it is sent, and gives its set-up up meanwhile: that is heard.
#[tokio::test]
async fn a_viewer_that_does_not_read_is_heard() {
    const SID: &str = "00000000000000aa";
    let mut rig = Rig::new(8).await;
    let (mut client, hold) = rig.open().await;
    assert!(hold.write(vec![b'x'; MOST_QUEUED].into()));
    assert!(!hold.viewer.has_left(SID));
    let word =
        format!("TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {SID}\r\nContent-Length: 0\r\n\r\n");
    client.write_all(word.as_bytes()).await.unwrap();
    tokio::time::timeout(LONG, rig.rung.recv()).await.expect("it is heard").unwrap();
    assert!(hold.viewer.has_left(SID) && !hold.viewer.has_left("00000000000000ab"));
    assert!(!hold.write(Bytes::from_static(ANSWER)), "too much waits");
}

/// More than may wait is read once the desk has taken what was there; nothing is lost, and the end comes last.
#[tokio::test]
async fn reading_stops_at_what_may_wait_and_goes_on() {
    const MANY: usize = 20_000;
    let mut rig = Rig::new(8).await;
    let (mut client, hold) = rig.open().await;
    let writer = tokio::spawn(async move {
        client.write_all(&TEST.repeat(MANY)).await.unwrap();
        client.shutdown().await.unwrap();
        client
    });
    let (mut came, mut most) = (0, 0);
    loop {
        tokio::time::timeout(LONG, rig.rung.recv()).await.expect("more").unwrap();
        let (messages, ended): (VecDeque<Came>, bool) = hold.viewer.take();
        (came, most) = (came + messages.len(), most.max(messages.len()));
        if ended {
            break;
        }
    }
    assert_eq!(came, MANY);
    assert!(most < MANY / 4, "{most} at once");
    drop(writer.await);
}
