//! Sessions that are handed over, and releases of sessions that have ended.

use super::*;

/// Set-up message that hands over a session at the server of that name.
fn handed_over_message(id: u64, server: &str) -> Received {
    let text = format!(
        "SETUP rtsp://media/7f RTSP/1.0\r\nCSeq: 1\r\nSession: {id:016x}\r\nX-Service: clip\r\n\
         X-Setup-Ms: 4000000\r\nX-Route: home:0;copies:9;top:1;at:{server}\r\nContent-Length: 0\r\n\r\n"
    );
    Received::Message(rtsp::decode(&mut BytesMut::from(&*text)).unwrap().unwrap())
}

/// One step brings a server, a session handed over at it, and maintenance, which needs the server's address.
#[tokio::test]
async fn session_handed_over_in_the_same_step_as_its_server_is_kept() {
    let mut fixture = Fixture::new(LIMITS).await;
    let viewer = fixture.connect_viewer(1).await;
    let address = fixture.servers[0].local_addr().unwrap();
    let event = format!(
        r#"{{"cursor":2,"nodes":{{"snapshot":false,"endpoints":[{{"name":"s-new","address":"127.0.0.1:{}","status":"in_service"}}]}}}}"#,
        address.port()
    );
    fixture.event_loop.apply_channel_update(1, ServerDirectory::parse_update(&event).unwrap());
    viewer.conn.push_received(handed_over_message(0xa1, "s-new"));
    fixture.event_loop.receive_turn(ConnId(1));
    fixture.event_loop.last_maintenance = Duration::ZERO;
    tokio::time::sleep(MAINTENANCE_INTERVAL).await;
    fixture.event_loop.step_and_maintain().await;
    assert!(fixture.event_loop.registry.may_be_held_by_server("00000000000000a1"), "the session is retained");
}

/// Guards against the loss of a release on a connection that is evicted while its viewer reads nothing: the connection
/// writes for a while what is queued, and nobody hears of what it could not write.
#[tokio::test]
async fn release_queued_on_an_evicted_connection_is_written_on_another_one() {
    let mut fixture = Fixture::new(LIMITS).await;
    let (first, mut second) = (fixture.connect_viewer(1).await, fixture.connect_viewer(2).await);
    first.conn.push_received(handed_over_message(0xa1, "s-0"));
    second.conn.push_received(setup_message(1));
    fixture.event_loop.step();
    let server =
        fixture.event_loop.registry.server_of("00000000000000a1").expect("the session is established");
    fixture.event_loop.end_sessions_at(server, Duration::MAX);
    fixture.event_loop.step();
    // The first connection has no open set-up, and its release is not written: no task reads its commands.
    let _third = fixture.connect_viewer(3).await;
    assert!(!fixture.event_loop.viewer_conns.contains_key(&ConnId(1)), "evicted");
    let Ok(ViewerCommand::Write(bytes)) = second.command_rx.try_recv() else { panic!("nothing is written") };
    assert!(bytes.starts_with(b"TEARDOWN "), "{bytes:?}");
}
