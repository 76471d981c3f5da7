//! The front over sockets against scripted peers: each hard case of the path, caused.

mod common;

use common::*;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// An address that refuses connections.
async fn nobody() -> std::net::SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

fn status(text: &str) -> &str {
    text.get(9..12).unwrap_or(text)
}

#[tokio::test]
async fn a_session_is_set_up_and_its_later_objects_follow_it_with_the_hints_that_say_so() {
    let peer = Peer::start(Does::Plays).await;
    let s = over(&[&peer], "").await;
    let first = raw(s.address, &get("/club/paid/t1/0.m4s", &sid("abc"))).await;
    assert_eq!(status(&first), "200", "{first}");
    assert!(first.ends_with("play"), "{first}");
    // The path so far first, the front's own member last (CTA-5006).
    let dynamic = first.lines().find(|l| l.starts_with("cmsd-dynamic")).unwrap();
    assert!(dynamic.contains("\"peer\";etp=80000") && dynamic.contains(", \"front-1\";"), "{dynamic}");
    assert!(dynamic.contains("com.cloverhollow-rung=3"), "{dynamic}");
    let later =
        raw(s.address, &get("/club/paid/t1/1.m4s", "cmcd-session: sid=\"abc\"\r\ncmcd-request: bl=4000\r\n"))
            .await;
    assert!(later.starts_with("HTTP/1.1 200") && later.ends_with("ok"), "{later}");
    let seen = peer.seen();
    assert!(seen[0].starts_with("setup /club/paid/t1/0.m4s br=16000"), "{seen:?}");
    assert!(seen[0].contains("com.cloverhollow-setup=0"), "{seen:?}");
    assert!(seen[0].contains("sid=\"abc\"") && seen[0].contains("rtp=16000"), "{seen:?}");
    assert!(seen[1].starts_with("object /club/paid/t1/1.m4s") && seen[1].contains("br=16000"), "{seen:?}");
    // The player's word ends it, and the server hears of it.
    let body = "e=ps,sid=\"abc\",sta=e,v=2\n";
    let report = format!(
        "POST /cmcd HTTP/1.1\r\nhost: f\r\nconnection: close\r\ncontent-type: application/cmcd\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    assert_eq!(status(&raw(s.address, &report).await), "204");
    peer.wait(|s| s.starts_with("report") && s.contains("sid=\"abc\"") && s.contains("sta=q")).await;
}

#[tokio::test]
async fn a_server_that_dies_before_a_paid_set_up_proves_that_it_never_ran() {
    let (gone, peer) = (nobody().await, Peer::start(Does::Plays).await);
    let s = front(discovery(&[gone, peer.address]).await, "").await;
    ready(&s).await;
    for i in 0..6 {
        let got = raw(s.address, &get("/club/paid/t1/0", &sid(&format!("s{i}")))).await;
        assert_eq!(status(&got), "200", "sent again after a refused connection: {got}");
    }
    assert_eq!(peer.setups(), 6);
}

#[tokio::test]
async fn a_server_that_dies_while_it_has_a_paid_set_up_costs_it_and_it_is_sent_nowhere_else() {
    for does in [Does::ClosesAfterReading, Does::Fails] {
        let (bad, other) = (Peer::start(does).await, Peer::start(does).await);
        let s = over(&[&bad, &other], "").await;
        let got = raw(s.address, &get("/club/paid/t1/0", &sid("x"))).await;
        assert_eq!(status(&got), "502", "{got}");
        assert!(got.contains("com.cloverhollow-reason=server-failed"), "{got}");
        let again = raw(s.address, &get("/club/paid/t1/0", &sid("x"))).await;
        assert!(status(&again) == "502" && again.contains("set-up-before"), "{again}");
        assert_eq!(bad.setups() + other.setups(), 1, "one attempt, whoever has it");
    }
}

#[tokio::test]
async fn a_server_that_closes_on_accept_may_have_read_the_set_up_and_a_paid_one_is_not_sent_again() {
    let (bad, other) = (Peer::start(Does::ClosesUnread).await, Peer::start(Does::ClosesUnread).await);
    let s = over(&[&bad, &other], "").await;
    let got = raw(s.address, &get("/club/paid/t1/0", &sid("x"))).await;
    assert_eq!(status(&got), "502", "{got}");
}

#[tokio::test]
async fn an_unpaid_set_up_is_tried_again_after_any_failure() {
    let (bad, good) = (Peer::start(Does::ClosesAfterReading).await, Peer::start(Does::Plays).await);
    let s = over(&[&bad, &good], "").await;
    for i in 0..4 {
        let got = raw(s.address, &get("/club/clip/t1/0", &sid(&format!("c{i}")))).await;
        assert_eq!(status(&got), "200", "{got}");
    }
    assert_eq!(good.setups(), 4);
}

#[tokio::test]
async fn a_full_server_is_proof_and_refused_is_503_with_when_to_come_back() {
    let full = Peer::start(Does::SaysFull).await;
    let s = over(&[&full], "limits: {hold_off_ms: 1500}").await;
    let got = raw(s.address, &get("/club/paid/t1/0", &sid("x"))).await;
    assert_eq!(status(&got), "503", "{got}");
    assert!(got.contains("retry-after: 2\r\n"), "whole seconds, never sooner: {got}");
    assert!(got.contains("com.cloverhollow-reason=no-room"), "{got}");
}

#[tokio::test]
async fn a_server_that_dies_after_its_answer_began_cuts_the_viewer_off() {
    let bad = Peer::start(Does::ClosesInBody).await;
    let s = over(&[&bad], "").await;
    let got = raw(s.address, &get("/club/paid/t1/0", &sid("x"))).await;
    assert!(status(&got) == "200" && got.contains("content-length: 1000000") && got.len() < 2000, "{got}");
}

#[tokio::test]
async fn a_silent_server_is_answered_for_before_the_viewers_time_is_up() {
    let silent = Peer::start(Does::Never).await;
    let s = over(&[&silent], "").await;
    let hasty = format!("{}cmcd-request: dl=400\r\n", sid("x").replace("cmcd-request: su\r\n", ""));
    let began = std::time::Instant::now();
    let got = raw(s.address, &get("/club/paid/t1/0", &hasty)).await;
    let took = began.elapsed();
    assert!(status(&got) == "504" && got.contains("unanswered"), "{got}");
    // Its own 400 ms and not the class's 2 s: a ratio with room for a busy machine.
    assert!(took < Duration::from_millis(1500), "{took:?}");
    silent.wait(|s| s == "closed by the front").await;
}

#[tokio::test]
async fn a_viewer_who_hangs_up_has_its_attempt_closed_at_the_server() {
    let silent = Peer::start(Does::Never).await;
    let s = over(&[&silent], "").await;
    let mut viewer = TcpStream::connect(s.address).await.unwrap();
    viewer.write_all(get("/club/paid/t1/0", &sid("x")).as_bytes()).await.unwrap();
    silent.wait(|s| s.starts_with("setup")).await;
    drop(viewer);
    silent.wait(|s| s == "closed by the front").await;
    silent.wait(|s| s.starts_with("report") && s.contains("sid=\"x\"")).await;
    assert_eq!(silent.setups(), 1);
}

#[tokio::test]
async fn two_requests_of_one_new_session_on_two_connections_are_one_set_up() {
    let peer = Peer::start(Does::Plays).await;
    let s = over(&[&peer], "").await;
    let request = get("/club/paid/t1/0", &sid("x"));
    let (a, b) = tokio::join!(raw(s.address, &request), raw(s.address, &request));
    assert_eq!((status(&a), status(&b)), ("200", "200"), "{a}\n{b}");
    assert_eq!(peer.setups(), 1);
}

#[tokio::test]
async fn hints_that_contradict_each_other_or_are_none_never_cost_the_session() {
    let peer = Peer::start(Does::Plays).await;
    let s = over(&[&peer], "").await;
    let headers = [
        "cmcd-session: sid=\"h1\"\r\ncmcd-object: br=9000,tb=200\r\ncmcd-request: su\r\n",
        "cmcd-session: sid=\"h2\"\r\ncmcd-object: d=2000\r\ncmcd-request: su,bl=8000\r\n",
        "cmcd-session: sid=\"h3\"\r\ncmcd-object: =,,\"\",br=x,ot=zz\r\ncmcd-request: dl=0,mtp=0\r\n",
        "cmcd-session: sid=\"h4\",cid=unquoted\r\ncmcd-status: br=5\r\n",
        "cmcd-object: br=5\r\n", // no sid at all
    ];
    for h in headers {
        let got = raw(s.address, &get("/club/paid/t1/0?CMCD=br%3D1%2Csid%3D%22other%22%2C%ff", h)).await;
        assert_eq!(status(&got), "200", "{h}: {got}");
    }
    let both = get("/club/clip/t1/0?CMCD=sid%3D%22q1%22%2Csu%2Ctb%3D1700", "");
    assert_eq!(status(&raw(s.address, &both).await), "200");
    assert!(peer.seen().last().unwrap().contains("br=1600"), "the rung that `tb` allows: {:?}", peer.seen());
}

#[tokio::test]
async fn paths_and_methods_that_are_none_are_refused_without_a_session() {
    let peer = Peer::start(Does::Plays).await;
    let s = over(&[&peer], "").await;
    assert_eq!(status(&raw(s.address, &get("/nothing", &sid("x"))).await), "404");
    assert_eq!(status(&raw(s.address, &get("/club/unknown/t/0", &sid("x"))).await), "404");
    let put = "PUT /club/paid/t1/0 HTTP/1.1\r\nhost: f\r\nconnection: close\r\n\r\n";
    assert_eq!(status(&raw(s.address, put).await), "405");
    assert!(peer.seen().is_empty());
}

#[tokio::test]
async fn discovery_away_at_the_start_refuses_at_once_without_a_last_list_and_serves_with_one() {
    let s = front(nobody().await, "").await;
    let got = raw(s.address, &get("/club/paid/t1/0", &sid("x"))).await;
    assert!(status(&got) == "503" && got.contains("no-servers") && got.contains("retry-after"), "{got}");

    let (dir, peer) = (folder("last-list"), Peer::start(Does::Plays).await);
    let file = dir.join("front.keep");
    let keep = |discovery: std::net::SocketAddr| {
        let text = format!(
            "instance: {{seed: 3}}\nlisten: {{address: \"127.0.0.1:0\"}}\nside: {{address: \"127.0.0.1:0\"}}\n\
             discovery: {{address: \"{discovery}\"}}\nkeep: {{file: \"{}\"}}\n\
             classes:\n- {{name: paid, aim_ms: 1000, deadline_ms: 2000, paid: true}}\n",
            file.display()
        );
        std::sync::Arc::new(cloverhollow_settings::FrontSettings::parse("t.yaml", &text).unwrap())
    };
    let start = |settings: std::sync::Arc<cloverhollow_settings::FrontSettings>| async {
        let brain = cloverhollow::SessionPolicy::new(settings.decisions(), 3);
        let front = cloverhollow_front::Front::start(settings, brain, None).await.unwrap();
        Setup { address: front.address, front }
    };
    let first = start(keep(discovery(&[peer.address]).await)).await;
    ready(&first).await;
    first.front.stop().await;
    assert!(std::fs::metadata(&file).unwrap().len() > 0, "kept at the stop");
    let second = start(keep(nobody().await)).await;
    let got = raw(second.address, &get("/club/paid/t1/0", &sid("y"))).await;
    assert_eq!(status(&got), "200", "by its last list: {got}");
    second.front.stop().await;

    // A torn file is set aside and never trusted; the start goes on without.
    let whole = std::fs::read(&file).unwrap();
    std::fs::write(&file, &whole[..whole.len() / 3]).unwrap();
    let third = start(keep(nobody().await)).await;
    let got = raw(third.address, &get("/club/paid/t1/0", &sid("z"))).await;
    assert!(status(&got) == "503", "{got}");
    assert!(dir.join("front.keep.bad").exists());
}
