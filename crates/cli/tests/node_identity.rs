//! `cloverhollow node` and servers that leave the list and return, restart, move or are renamed while they run: messages
//! on any connection of such a process count for the session, and pending releases reach it.

mod platform;
#[path = "platform/server_list.rs"]
mod server_list;

use platform::{endpoint, read_message, setup_request, wait_for, Server};
use server_list::{assert_not_released, assert_released, tag, wait_until_processed, ServerListFixture};
use std::io::Write;
use std::time::Duration;

/// The server writes the release on the connection that was opened before it left the list (issue 44).
#[test]
fn release_on_a_connection_from_before_the_server_left_and_returned_reaches_the_viewer() {
    let mut fixture = ServerListFixture::new("left-and-back");
    let (mut first, mut older) = fixture.establish_on_new_connection(0xa1);
    older.send_finish(&tag(0xa1), 16);
    assert_released(&mut first, 0xa1, "before the server left");
    fixture.remove_server();
    let returned = fixture.list_entry(0, "in_service", 0);
    fixture.update_list(false, vec![returned]);
    let (mut viewer, _newer) = fixture.establish_after_update(0xa2, &mut older);
    older.send_finish(&tag(0xa2), 16);
    assert_released(&mut viewer, 0xa2, "after its return");
}

/// As above with the server missing from one snapshot and present in the next, and with both changes in one event.
#[test]
fn release_reaches_the_viewer_after_a_return_by_snapshot_or_by_one_event() {
    for update in ["snapshot", "batch"] {
        let mut fixture = ServerListFixture::new(&format!("back-by-{update}"));
        let (mut first, mut older) = fixture.establish_on_new_connection(0xa3);
        older.send_finish(&tag(0xa3), 16);
        assert_released(&mut first, 0xa3, update);
        let (removed, returned) =
            (fixture.list_entry(0, "terminated", 0), fixture.list_entry(0, "in_service", 0));
        if update == "snapshot" {
            fixture.update_list(true, vec![]);
            fixture.wait_until_no_servers();
            fixture.update_list(true, vec![returned]);
        } else {
            fixture.update_list(false, vec![removed, returned]);
            std::thread::sleep(Duration::from_millis(100));
        }
        let (mut viewer, _newer) = fixture.establish_after_update(0xa4, &mut older);
        older.send_finish(&tag(0xa4), 16);
        assert_released(&mut viewer, 0xa4, update);
    }
}

/// A session ends neither because its server leaves the list nor because the same process is listed again.
#[test]
fn session_survives_the_return_of_its_server_and_ends_with_the_release() {
    let mut fixture = ServerListFixture::new("plays-on");
    let (mut viewer, mut server_conn) = fixture.establish_on_new_connection(0xb1);
    fixture.remove_server();
    assert_not_released(&mut viewer, "while its server is not listed");
    let returned = fixture.list_entry(0, "in_service", 0);
    fixture.update_list(false, vec![returned]);
    let (_second, newer) = fixture.establish_after_update(0xb2, &mut server_conn);
    wait_until_processed(newer.map_or(&mut server_conn, |newer| Box::leak(Box::new(newer))));
    assert_not_released(&mut viewer, "after the return of its server");
    server_conn.send_finish(&tag(0xb1), 16);
    assert_released(&mut viewer, 0xb1, "released by its server");
}

/// The viewer leaves after the return of the server: the pending release reaches the process, and the other session stays
/// established.
#[test]
fn pending_release_reaches_a_server_that_left_and_returned() {
    let mut fixture = ServerListFixture::new("pending-after-return");
    let (mut viewer, mut server_conn) = fixture.establish_on_new_connection(0xb3);
    fixture.remove_server();
    let returned = fixture.list_entry(0, "in_service", 0);
    fixture.update_list(false, vec![returned]);
    let (_second, newer) = fixture.establish_after_update(0xb4, &mut server_conn);
    viewer.write_all(platform::teardown_request(0xb3, Some(31)).as_bytes()).unwrap();
    let line = newer.unwrap_or(server_conn).read_line().expect("a FINISH at the server");
    assert_eq!((&line["verb"], &line["tag"], &line["rc"]), (&"FINISH".into(), &tag(0xb3).into(), &31.into()));
}

/// A running server is listed under another name at the same address; its connections stay open.
#[test]
fn release_on_a_connection_opened_under_the_previous_server_name_reaches_the_viewer() {
    let mut fixture = ServerListFixture::new("renamed");
    let (mut first, mut older) = fixture.establish_on_new_connection(0xc1);
    older.send_finish(&tag(0xc1), 16);
    assert_released(&mut first, 0xc1, "under its first name");
    let renamed = vec![fixture.list_entry(0, "terminated", 0), fixture.list_entry(1, "in_service", 0)];
    fixture.update_list(false, renamed);
    std::thread::sleep(Duration::from_millis(100));
    let (mut viewer, _newer) = fixture.establish_after_update(0xc2, &mut older);
    older.send_finish(&tag(0xc2), 16);
    assert_released(&mut viewer, 0xc2, "under its second name");
}

/// A duplicate response on the connection opened under the previous name does not end the session.
#[test]
fn duplicate_response_on_a_connection_opened_under_the_previous_server_name_ends_no_session() {
    let mut fixture = ServerListFixture::new("renamed-answer");
    let (mut first, mut older) = fixture.establish_on_new_connection(0xc3);
    older.send_finish(&tag(0xc3), 16);
    assert_released(&mut first, 0xc3, "under its first name");
    let renamed = vec![fixture.list_entry(0, "terminated", 0), fixture.list_entry(1, "in_service", 0)];
    fixture.update_list(false, renamed);
    std::thread::sleep(Duration::from_millis(100));
    let (mut viewer, newer) = fixture.establish_after_update(0xc4, &mut older);
    let mut newer = newer.expect("a connection of its own for the new server name");
    older.send_started(&tag(0xc4));
    // The older connection may be closed from here on, so a FINISH could arrive on either.
    std::thread::sleep(Duration::from_millis(200));
    assert!(
        wait_until_processed(&mut newer).iter().all(|line| line["verb"] != "FINISH"),
        "no FINISH for an established session"
    );
    assert_not_released(&mut viewer, "after the duplicate");
    let finished = std::iter::from_fn(|| older.try_read_line()).any(|line| line["verb"] == "FINISH");
    assert!(!finished, "no FINISH for an established session on the older connection");
}

/// Another name at the address is another server: sessions of the previous one are released, also at the process itself in
/// case it still runs.
#[test]
fn server_whose_name_was_replaced_is_sent_the_releases_of_its_sessions() {
    let mut fixture = ServerListFixture::new("replaced-name");
    let (mut viewer, mut server_conn) = fixture.establish_on_new_connection(0xc5);
    let renamed = vec![fixture.list_entry(0, "terminated", 0), fixture.list_entry(1, "in_service", 0)];
    fixture.update_list(false, renamed);
    assert_released(&mut viewer, 0xc5, "its server was replaced");
    let line = server_conn.read_line().expect("a FINISH at the server");
    assert_eq!((&line["verb"], &line["tag"]), (&"FINISH".into(), &tag(0xc5).into()), "{line}");
}

/// A name that is listed at another address is another process: sessions of the previous one are ended and released there,
/// and the new one gets no messages about them.
#[test]
fn pending_release_of_a_moved_server_goes_to_its_previous_process() {
    let mut fixture = ServerListFixture::new("moved");
    let (mut viewer, mut server_conn) = fixture.establish_on_new_connection(0xd1);
    let moved = Server::new();
    fixture.update_list(false, vec![endpoint(0, moved.address(), "in_service", 0)]);
    let mut newer = wait_for("a set-up at the new address", || {
        fixture.next_probe += 1;
        let mut probe = fixture.node.connect();
        probe.write_all(setup_request(fixture.next_probe, "clip", 50).as_bytes()).unwrap();
        let _ = read_message(&mut probe);
        moved.try_accept()
    });
    viewer.write_all(platform::teardown_request(0xd1, Some(31)).as_bytes()).unwrap();
    let finish = wait_for("a FINISH at the previous process", || {
        server_conn.try_read_line().filter(|line| line["verb"] == "FINISH" && line["tag"] == *tag(0xd1))
    });
    assert_eq!(finish["tag"], *tag(0xd1));
    newer.stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    let misdirected = std::iter::from_fn(|| newer.try_read_line()).any(|line| line["tag"] == *tag(0xd1));
    assert!(!misdirected, "a message about the session at the new process");
}

/// A changed start time means a new process. Its pending release is not sent on the connection of the previous process,
/// which has disappeared without a close.
#[test]
fn pending_release_of_a_restarted_server_goes_to_its_new_process() {
    let mut fixture = ServerListFixture::new("restarted");
    let (mut first, mut older) = fixture.establish_on_new_connection(0xd3);
    // Start times in the list have a resolution of 1 ms.
    std::thread::sleep(Duration::from_millis(20));
    let since_ms = std::time::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64;
    let restarted = fixture.list_entry(0, "in_service", since_ms);
    fixture.update_list(false, vec![restarted]);
    assert_released(&mut first, 0xd3, "its server restarted");
    let (mut viewer, newer) = fixture.establish_after_update(0xd4, &mut older);
    let mut newer = newer.expect("a new connection: the one to the previous process is not used any more");
    viewer.write_all(platform::teardown_request(0xd4, Some(31)).as_bytes()).unwrap();
    let line = newer.read_line().expect("a FINISH at the server");
    assert_eq!((&line["verb"], &line["tag"]), (&"FINISH".into(), &tag(0xd4).into()), "{line}");
}
