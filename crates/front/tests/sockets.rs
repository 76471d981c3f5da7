//! The front over sockets, with scripted servers for each failure on the path of a request.

mod common;

use common::*;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Returns an address that refuses connections.
async fn unreachable_address() -> std::net::SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

fn status(text: &str) -> &str {
    text.get(9..12).unwrap_or(text)
}

#[tokio::test]
async fn later_objects_follow_the_session_with_its_hints() {
    let server = TestServer::start(Script::Serves).await;
    let front = start_ready_front(&[&server], "").await;
    let first = send_raw(front.address, &get_request("/club/paid/t1/0.m4s", &session_headers("abc"))).await;
    assert_eq!(status(&first), "200", "{first}");
    assert!(first.ends_with("play"), "{first}");
    // The server's member comes first, the front's own member last (CTA-5006).
    let dynamic = first.lines().find(|l| l.starts_with("cmsd-dynamic")).unwrap();
    assert!(dynamic.contains("\"peer\";etp=80000") && dynamic.contains(", \"front-1\";"), "{dynamic}");
    assert!(dynamic.contains("com.cloverhollow-rung=3"), "{dynamic}");
    let later = send_raw(
        front.address,
        &get_request("/club/paid/t1/1.m4s", "cmcd-session: sid=\"abc\"\r\ncmcd-request: bl=4000\r\n"),
    )
    .await;
    assert!(later.starts_with("HTTP/1.1 200") && later.ends_with("ok"), "{later}");
    let requests = server.requests();
    assert!(requests[0].starts_with("setup /club/paid/t1/0.m4s br=16000"), "{requests:?}");
    assert!(requests[0].contains("com.cloverhollow-setup=0"), "{requests:?}");
    assert!(requests[0].contains("sid=\"abc\"") && requests[0].contains("rtp=16000"), "{requests:?}");
    assert!(
        requests[1].starts_with("object /club/paid/t1/1.m4s") && requests[1].contains("br=16000"),
        "{requests:?}"
    );
    // The player's report ends the session, and the server is notified.
    let body = "e=ps,sid=\"abc\",sta=e,v=2\n";
    let report = format!(
        "POST /cmcd HTTP/1.1\r\nhost: f\r\nconnection: close\r\ncontent-type: application/cmcd\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    assert_eq!(status(&send_raw(front.address, &report).await), "204");
    server
        .wait_for(|request| {
            request.starts_with("report") && request.contains("sid=\"abc\"") && request.contains("sta=q")
        })
        .await;
}

#[tokio::test]
async fn refused_connection_lets_a_paid_set_up_be_retried() {
    let (unreachable, server) = (unreachable_address().await, TestServer::start(Script::Serves).await);
    let front = start_front(start_discovery(&[unreachable, server.address]).await, "").await;
    wait_ready(&front).await;
    for i in 0..6 {
        let got =
            send_raw(front.address, &get_request("/club/paid/t1/0", &session_headers(&format!("s{i}"))))
                .await;
        assert_eq!(status(&got), "200", "retried after a refused connection: {got}");
    }
    assert_eq!(server.setups(), 6);
}

#[tokio::test]
async fn paid_set_up_is_not_retried_after_it_may_have_executed() {
    for script in [Script::ClosesAfterReading, Script::ReturnsError] {
        let (bad, other) = (TestServer::start(script).await, TestServer::start(script).await);
        let front = start_ready_front(&[&bad, &other], "").await;
        let got = send_raw(front.address, &get_request("/club/paid/t1/0", &session_headers("x"))).await;
        assert_eq!(status(&got), "502", "{got}");
        assert!(got.contains("com.cloverhollow-reason=server-failed"), "{got}");
        let again = send_raw(front.address, &get_request("/club/paid/t1/0", &session_headers("x"))).await;
        assert!(status(&again) == "502" && again.contains("set-up-before"), "{again}");
        assert_eq!(bad.setups() + other.setups(), 1, "one attempt in total, at either server");
    }
}

#[tokio::test]
async fn paid_set_up_is_not_retried_after_close_on_accept() {
    let (bad, other) =
        (TestServer::start(Script::ClosesOnAccept).await, TestServer::start(Script::ClosesOnAccept).await);
    let front = start_ready_front(&[&bad, &other], "").await;
    let got = send_raw(front.address, &get_request("/club/paid/t1/0", &session_headers("x"))).await;
    assert_eq!(status(&got), "502", "{got}");
}

#[tokio::test]
async fn unpaid_set_up_is_retried_after_any_failure() {
    let (bad, good) =
        (TestServer::start(Script::ClosesAfterReading).await, TestServer::start(Script::Serves).await);
    let front = start_ready_front(&[&bad, &good], "").await;
    for i in 0..4 {
        let got =
            send_raw(front.address, &get_request("/club/clip/t1/0", &session_headers(&format!("c{i}"))))
                .await;
        assert_eq!(status(&got), "200", "{got}");
    }
    assert_eq!(good.setups(), 4);
}

#[tokio::test]
async fn set_up_refused_by_a_full_server_gets_503_with_retry_after() {
    let full = TestServer::start(Script::ReportsFull).await;
    let front = start_ready_front(&[&full], "limits: {hold_off_ms: 1500}").await;
    let got = send_raw(front.address, &get_request("/club/paid/t1/0", &session_headers("x"))).await;
    assert_eq!(status(&got), "503", "{got}");
    assert!(got.contains("retry-after: 2\r\n"), "rounded up to whole seconds: {got}");
    assert!(got.contains("com.cloverhollow-reason=no-room"), "{got}");
}

#[tokio::test]
async fn server_failure_during_the_body_closes_the_viewers_connection() {
    let bad = TestServer::start(Script::ClosesInBody).await;
    let front = start_ready_front(&[&bad], "").await;
    let got = send_raw(front.address, &get_request("/club/paid/t1/0", &session_headers("x"))).await;
    assert!(status(&got) == "200" && got.contains("content-length: 1000000") && got.len() < 2000, "{got}");
}

#[tokio::test]
async fn silent_server_gets_504_within_the_viewers_deadline() {
    let silent = TestServer::start(Script::NeverResponds).await;
    let front = start_ready_front(&[&silent], "").await;
    let short_deadline =
        format!("{}cmcd-request: dl=400\r\n", session_headers("x").replace("cmcd-request: su\r\n", ""));
    let started_at = std::time::Instant::now();
    let got = send_raw(front.address, &get_request("/club/paid/t1/0", &short_deadline)).await;
    let elapsed = started_at.elapsed();
    assert!(status(&got) == "504" && got.contains("unanswered"), "{got}");
    // The viewer's own 400 ms apply, not the 2 s of the class; the margin allows for a busy machine.
    assert!(elapsed < Duration::from_millis(1500), "{elapsed:?}");
    silent.wait_for(|request| request == "closed by the front").await;
}

#[tokio::test]
async fn disconnected_viewer_has_its_attempt_closed() {
    let silent = TestServer::start(Script::NeverResponds).await;
    let front = start_ready_front(&[&silent], "").await;
    let mut viewer = TcpStream::connect(front.address).await.unwrap();
    viewer.write_all(get_request("/club/paid/t1/0", &session_headers("x")).as_bytes()).await.unwrap();
    silent.wait_for(|request| request.starts_with("setup")).await;
    drop(viewer);
    silent.wait_for(|request| request == "closed by the front").await;
    silent.wait_for(|request| request.starts_with("report") && request.contains("sid=\"x\"")).await;
    assert_eq!(silent.setups(), 1);
}

#[tokio::test]
async fn concurrent_requests_of_a_new_session_share_one_set_up() {
    let server = TestServer::start(Script::Serves).await;
    let front = start_ready_front(&[&server], "").await;
    let request = get_request("/club/paid/t1/0", &session_headers("x"));
    let (a, b) = tokio::join!(send_raw(front.address, &request), send_raw(front.address, &request));
    assert_eq!((status(&a), status(&b)), ("200", "200"), "{a}\n{b}");
    assert_eq!(server.setups(), 1);
}

#[tokio::test]
async fn contradictory_or_invalid_hints_do_not_fail_the_session() {
    let server = TestServer::start(Script::Serves).await;
    let front = start_ready_front(&[&server], "").await;
    let headers = [
        "cmcd-session: sid=\"h1\"\r\ncmcd-object: br=9000,tb=200\r\ncmcd-request: su\r\n",
        "cmcd-session: sid=\"h2\"\r\ncmcd-object: d=2000\r\ncmcd-request: su,bl=8000\r\n",
        "cmcd-session: sid=\"h3\"\r\ncmcd-object: =,,\"\",br=x,ot=zz\r\ncmcd-request: dl=0,mtp=0\r\n",
        "cmcd-session: sid=\"h4\",cid=unquoted\r\ncmcd-status: br=5\r\n",
        "cmcd-object: br=5\r\n", // no sid at all
    ];
    for h in headers {
        let got =
            send_raw(front.address, &get_request("/club/paid/t1/0?CMCD=br%3D1%2Csid%3D%22other%22%2C%ff", h))
                .await;
        assert_eq!(status(&got), "200", "{h}: {got}");
    }
    let both = get_request("/club/clip/t1/0?CMCD=sid%3D%22q1%22%2Csu%2Ctb%3D1700", "");
    assert_eq!(status(&send_raw(front.address, &both).await), "200");
    assert!(
        server.requests().last().unwrap().contains("br=1600"),
        "the rung that `tb` allows: {:?}",
        server.requests()
    );
}

#[tokio::test]
async fn unknown_paths_and_methods_are_refused_without_a_session() {
    let server = TestServer::start(Script::Serves).await;
    let front = start_ready_front(&[&server], "").await;
    assert_eq!(
        status(&send_raw(front.address, &get_request("/nothing", &session_headers("x"))).await),
        "404"
    );
    assert_eq!(
        status(&send_raw(front.address, &get_request("/club/unknown/t/0", &session_headers("x"))).await),
        "404"
    );
    let put = "PUT /club/paid/t1/0 HTTP/1.1\r\nhost: f\r\nconnection: close\r\n\r\n";
    assert_eq!(status(&send_raw(front.address, put).await), "405");
    assert!(server.requests().is_empty());
}

#[tokio::test]
async fn persisted_list_is_used_while_discovery_is_unreachable() {
    let front = start_front(unreachable_address().await, "").await;
    let got = send_raw(front.address, &get_request("/club/paid/t1/0", &session_headers("x"))).await;
    assert!(status(&got) == "503" && got.contains("no-servers") && got.contains("retry-after"), "{got}");

    let (dir, server) = (temp_dir("last-list"), TestServer::start(Script::Serves).await);
    let file = dir.join("front.keep");
    let settings_with = |discovery: std::net::SocketAddr| {
        let text = format!(
            "instance: {{seed: 3}}\nlisten: {{address: \"127.0.0.1:0\"}}\nside: {{address: \"127.0.0.1:0\"}}\n\
             discovery: {{address: \"{discovery}\"}}\nkeep: {{file: \"{}\"}}\n\
             classes:\n- {{name: paid, aim_ms: 1000, deadline_ms: 2000, paid: true}}\n",
            file.display()
        );
        std::sync::Arc::new(cloverhollow_settings::FrontSettings::parse("t.yaml", &text).unwrap())
    };
    let start = |settings: std::sync::Arc<cloverhollow_settings::FrontSettings>| async {
        let policy = cloverhollow::SessionPolicy::new(settings.decisions(), 3);
        let front = cloverhollow_front::Front::start(settings, policy, None).await.unwrap();
        TestFront { address: front.address, front }
    };
    let first = start(settings_with(start_discovery(&[server.address]).await)).await;
    wait_ready(&first).await;
    first.front.stop().await;
    assert!(std::fs::metadata(&file).unwrap().len() > 0, "the store is written at the stop");
    let second = start(settings_with(unreachable_address().await)).await;
    let got = send_raw(second.address, &get_request("/club/paid/t1/0", &session_headers("y"))).await;
    assert_eq!(status(&got), "200", "served by the persisted list: {got}");
    second.front.stop().await;

    // A truncated file is set aside and never used; the front starts without it.
    let whole = std::fs::read(&file).unwrap();
    std::fs::write(&file, &whole[..whole.len() / 3]).unwrap();
    let third = start(settings_with(unreachable_address().await)).await;
    let got = send_raw(third.address, &get_request("/club/paid/t1/0", &session_headers("z"))).await;
    assert!(status(&got) == "503", "{got}");
    assert!(dir.join("front.keep.bad").exists());
}
