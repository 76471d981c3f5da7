//! Releases and other lines: each reaches its server, whatever its connection does meanwhile.

use super::*;

/// The desk queues more than the connection's task, which has no turn meanwhile, takes.
#[tokio::test]
async fn a_set_up_is_given_up_though_its_connection_takes_no_more_lines() {
    let mut rig = Rig::new().await;
    let (id, mut server) = rig.used().await;
    rig.send();
    assert!(read(&mut server).await.contains("0000000000000002"));
    while rig.links.links[&id].hold.write(Bytes::from_static(b"{}\n")) {}
    let end = rig.links.recall(attempt(2), CancelReason::TimedOut);
    assert_eq!(end, Some((attempt(2), AttemptEnd::Unanswered)));
    loop {
        let line = read(&mut server).await;
        assert!(!line.is_empty(), "closed, and its giving up was lost");
        if line.contains("FINISH") {
            assert!(line.contains("0000000000000002"), "{line}");
            break;
        }
    }
    assert_eq!(read(&mut server).await, "", "and then closed");
}

fn releases(n: u64) -> impl Iterator<Item = Line> {
    (0..n).map(|n| Line::finish(&format!("{n:016x}"), cause::CANCELLED))
}

/// As many sessions end at once as may stand there, while no connection is up.
#[tokio::test]
async fn every_release_that_is_owed_waits_for_a_connection() {
    let mut rig = Rig::new().await;
    const ENDS: u64 = 3_000;
    releases(ENDS).for_each(|line| rig.links.tell(S, line));
    for rung in 0..1_000 {
        rig.links.tell(S, Line::new(Verb::Rate, "00000000000000aa").with("rung", rung));
    }
    let address = rig.listener.local_addr().unwrap();
    assert!(rig.links.look(|_| false, |_| Some(address)).is_empty());
    let (stream, _) = rig.listener.accept().await.unwrap();
    let Some(Mail::Up(id)) = rig.mails.recv().await else { panic!("it did not come up") };
    rig.links.up(id);
    let mut server = BufReader::new(stream);
    for want in releases(ENDS) {
        let mut line = read(&mut server).await;
        while line.contains("RATE") {
            line = read(&mut server).await;
        }
        assert_eq!(line.as_bytes(), want.encode());
    }
}

/// Lines that its queue did not take go on the same connection once it takes some again.
#[tokio::test]
async fn what_a_slow_server_was_not_told_it_is_told_later() {
    let mut rig = Rig::new().await;
    let (_, mut server) = rig.used().await;
    releases(2_000).for_each(|line| rig.links.tell(S, line));
    assert!(rig.links.waiting.contains_key(&S), "more than a queue takes");
    let last = format!("{:016x}", 1_999);
    loop {
        rig.links.look(|_| true, |_| None);
        let line = read(&mut server).await;
        assert!(!line.is_empty());
        if line.contains(&last) {
            return;
        }
    }
}

/// The server closes the connection, and the release that was written on it meanwhile was never read.
#[tokio::test]
async fn a_release_that_crosses_the_close_of_its_connection_is_told_on_the_next() {
    for written in [false, true] {
        let mut rig = Rig::new().await;
        let (id, mut server) = rig.used().await;
        let line = releases(1).next().unwrap();
        if written {
            rig.links.tell(S, line);
            // It has come there, and nobody reads it: the close resets the connection.
            let mut byte = [0];
            assert_eq!(server.get_mut().peek(&mut byte).await.unwrap(), 1);
            drop(server);
        } else {
            drop(server);
            rig.links.tell(S, line);
        }
        let Some(Mail::Down(down, why, owed)) = rig.mails.recv().await else { panic!("it is not down") };
        assert_eq!((down, owed.len()), (id, 1), "written: {written}");
        assert_eq!(rig.links.down(id, why, owed), None);
        let address = rig.listener.local_addr().unwrap();
        let look = |rig: &mut Rig| rig.links.look(|_| false, |_| Some(address));
        let stream = loop {
            assert!(look(&mut rig).is_empty());
            tokio::select! {
                got = rig.listener.accept() => break got.unwrap().0,
                () = tokio::time::sleep(Duration::from_millis(5)) => {}
            }
        };
        let Some(Mail::Up(id)) = rig.mails.recv().await else { panic!("it did not come up") };
        rig.links.up(id);
        assert!(read(&mut BufReader::new(stream)).await.contains("FINISH"));
    }
}

/// What is spoilt of an answer is its words: the session may stand at its server, which is told that nobody has it.
#[tokio::test]
async fn a_session_whose_answer_was_cut_or_is_noise_is_given_up() {
    use tokio::io::AsyncWriteExt;
    for answer in ["{\"verb\":\"STARTED\",\"tag\":\"00000", "noise\n"] {
        let mut rig = Rig::new().await;
        let (id, mut server) = rig.used().await;
        rig.send();
        read(&mut server).await;
        server.get_mut().write_all(answer.as_bytes()).await.unwrap();
        drop(server);
        let Some(Mail::Down(down, why, owed)) = rig.mails.recv().await else { panic!("it is not down") };
        assert_eq!((down, why), (id, LinkEndReason::Corrupt), "{answer}");
        assert_eq!(rig.links.down(id, why, owed), Some((attempt(2), AttemptEnd::Reset)));
        assert!(rig.links.waiting.contains_key(&S), "its release waits for a connection");
    }
}
