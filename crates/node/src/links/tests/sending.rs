//! Releases and other lines reach their server whatever happens to its connection.

use super::*;
use bytes::Bytes;

/// The event loop queues more than the connection's task takes, which gets no turn in the meantime.
#[tokio::test]
async fn set_up_is_released_although_the_command_queue_is_full() {
    let mut fixture = Fixture::new().await;
    let (id, mut server) = fixture.used_connection().await;
    fixture.send_setup();
    assert!(read_line(&mut server).await.contains("0000000000000002"));
    while fixture.links.links[&id].handle.write(Bytes::from_static(b"{}\n")) {}
    let end = fixture.links.cancel_setup(attempt(2), CancelReason::TimedOut);
    assert_eq!(end, Some((attempt(2), AttemptEnd::Unanswered)));
    loop {
        let line = read_line(&mut server).await;
        assert!(!line.is_empty(), "closed without the release");
        if line.contains("FINISH") {
            assert!(line.contains("0000000000000002"), "{line}");
            break;
        }
    }
    assert_eq!(read_line(&mut server).await, "", "closed after the release");
}

fn releases(n: u64) -> impl Iterator<Item = Line> {
    (0..n).map(|n| Line::finish(&format!("{n:016x}"), cause::CANCELLED))
}

/// As many sessions end at once as a server may hold, while no connection is up.
#[tokio::test]
async fn all_releases_are_queued_until_a_connection_is_up() {
    let mut fixture = Fixture::new().await;
    const RELEASES: u64 = 3_000;
    releases(RELEASES).for_each(|line| fixture.links.send_line(SERVER, line));
    for rung in 0..1_000 {
        fixture.links.send_line(SERVER, Line::new(Verb::Rate, "00000000000000aa").with("rung", rung));
    }
    let address = fixture.listener.local_addr().unwrap();
    assert!(fixture.links.run_maintenance(|_| false, |_| Some(address)).is_empty());
    let (stream, _) = fixture.listener.accept().await.unwrap();
    let Some(LoopEvent::LinkUp(id)) = fixture.event_rx.recv().await else { panic!("the link is not up") };
    fixture.links.link_up(id);
    let mut server = BufReader::new(stream);
    for expected in releases(RELEASES) {
        let mut line = read_line(&mut server).await;
        while line.contains("RATE") {
            line = read_line(&mut server).await;
        }
        assert_eq!(line.as_bytes(), expected.encode());
    }
}

/// Lines that the connection's queue did not accept are sent on the same connection once it accepts some
/// again.
#[tokio::test]
async fn lines_beyond_the_command_queue_are_sent_later() {
    let mut fixture = Fixture::new().await;
    let (_, mut server) = fixture.used_connection().await;
    releases(2_000).for_each(|line| fixture.links.send_line(SERVER, line));
    assert!(fixture.links.queued_lines.contains_key(&SERVER), "more lines than the command queue accepts");
    let last = format!("{:016x}", 1_999);
    loop {
        fixture.links.run_maintenance(|_| true, |_| None);
        let line = read_line(&mut server).await;
        assert!(!line.is_empty());
        if line.contains(&last) {
            return;
        }
    }
}

/// The server closes the connection without reading a release that was written or queued on it.
#[tokio::test]
async fn release_that_crosses_a_close_is_sent_on_the_next_connection() {
    for written in [false, true] {
        let mut fixture = Fixture::new().await;
        let (id, mut server) = fixture.used_connection().await;
        let line = releases(1).next().unwrap();
        if written {
            fixture.links.send_line(SERVER, line);
            // The release has arrived and is not read, so that the close resets the connection.
            let mut byte = [0];
            assert_eq!(server.get_mut().peek(&mut byte).await.unwrap(), 1);
            drop(server);
        } else {
            drop(server);
            fixture.links.send_line(SERVER, line);
        }
        let Some(LoopEvent::LinkDown(down, reason, unread)) = fixture.event_rx.recv().await else {
            panic!("the link is not down")
        };
        assert_eq!((down, unread.len()), (id, 1), "written: {written}");
        assert_eq!(fixture.links.link_down(id, reason, unread), None);
        let address = fixture.listener.local_addr().unwrap();
        let maintain = |fixture: &mut Fixture| fixture.links.run_maintenance(|_| false, |_| Some(address));
        let stream = loop {
            assert!(maintain(&mut fixture).is_empty());
            tokio::select! {
                accepted = fixture.listener.accept() => break accepted.unwrap().0,
                () = tokio::time::sleep(Duration::from_millis(5)) => {}
            }
        };
        let Some(LoopEvent::LinkUp(id)) = fixture.event_rx.recv().await else { panic!("the link is not up") };
        fixture.links.link_up(id);
        assert!(read_line(&mut BufReader::new(stream)).await.contains("FINISH"));
    }
}

/// The session may be established although its answer is unusable, so a release is sent to the server.
#[tokio::test]
async fn session_with_a_truncated_or_malformed_answer_is_released() {
    use tokio::io::AsyncWriteExt;
    for answer in ["{\"verb\":\"STARTED\",\"tag\":\"00000", "noise\n"] {
        let mut fixture = Fixture::new().await;
        let (id, mut server) = fixture.used_connection().await;
        fixture.send_setup();
        read_line(&mut server).await;
        server.get_mut().write_all(answer.as_bytes()).await.unwrap();
        drop(server);
        let Some(LoopEvent::LinkDown(down, reason, unread)) = fixture.event_rx.recv().await else {
            panic!("the link is not down")
        };
        assert_eq!((down, reason), (id, LinkEndReason::Corrupt), "{answer}");
        assert_eq!(fixture.links.link_down(id, reason, unread), Some((attempt(2), AttemptEnd::Reset)));
        assert!(fixture.links.queued_lines.contains_key(&SERVER), "its release waits for a connection");
    }
}
