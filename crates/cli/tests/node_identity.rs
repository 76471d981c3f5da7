//! `cloverhollow node` and servers that leave the list and come back, restart, move or are renamed while they run: what
//! such a process says on any of its connections counts for the session, and what it is owed reaches it.

mod platform;
#[path = "platform/server_list.rs"]
mod server_list;

use platform::{endpoint, message, setup, until, Server};
use server_list::{assert_plays_on, assert_released, settle, tag, Listed};
use std::io::Write;
use std::time::Duration;

/// Issue 44: the process writes the release on the connection that was opened before it left the list.
#[test]
fn a_release_on_a_connection_opened_before_its_server_left_and_came_back_reaches_the_viewer() {
    let mut listed = Listed::new("left-and-back");
    let (mut first, mut older) = listed.stand_on_new(0xa1);
    older.finish(&tag(0xa1), 16);
    assert_released(&mut first, 0xa1, "before the server left");
    listed.leave();
    let back = listed.listed(0, "in_service", 0);
    listed.tell(false, vec![back]);
    let (mut viewer, _newer) = listed.stand_again(0xa2, &mut older);
    older.finish(&tag(0xa2), 16);
    assert_released(&mut viewer, 0xa2, "after its return");
}

/// As above with the server missing from one whole list and named by the next, and with both words in one event.
#[test]
fn a_release_reaches_the_viewer_whichever_way_the_list_told_of_the_return() {
    for way in ["snapshot", "batch"] {
        let mut listed = Listed::new(&format!("back-by-{way}"));
        let (mut first, mut older) = listed.stand_on_new(0xa3);
        older.finish(&tag(0xa3), 16);
        assert_released(&mut first, 0xa3, way);
        let (gone, back) = (listed.listed(0, "terminated", 0), listed.listed(0, "in_service", 0));
        if way == "snapshot" {
            listed.tell(true, vec![]);
            listed.await_no_servers();
            listed.tell(true, vec![back]);
        } else {
            listed.tell(false, vec![gone, back]);
            std::thread::sleep(Duration::from_millis(100));
        }
        let (mut viewer, _newer) = listed.stand_again(0xa4, &mut older);
        older.finish(&tag(0xa4), 16);
        assert_released(&mut viewer, 0xa4, way);
    }
}

/// The session is not over because its server leaves the list, nor because the same process is listed again.
#[test]
fn a_session_that_plays_on_while_its_server_leaves_and_comes_back_is_released_when_its_server_says_so() {
    let mut listed = Listed::new("plays-on");
    let (mut viewer, mut link) = listed.stand_on_new(0xb1);
    listed.leave();
    assert_plays_on(&mut viewer, "while its server is not listed");
    let back = listed.listed(0, "in_service", 0);
    listed.tell(false, vec![back]);
    let (_second, newer) = listed.stand_again(0xb2, &mut link);
    settle(newer.map_or(&mut link, |newer| Box::leak(Box::new(newer))));
    assert_plays_on(&mut viewer, "its process has returned");
    link.finish(&tag(0xb1), 16);
    assert_released(&mut viewer, 0xb1, "its end");
}

/// The viewer leaves after the return: the release that is owed reaches the process, and the rest plays on.
#[test]
fn a_release_that_is_owed_reaches_a_process_that_left_and_came_back() {
    let mut listed = Listed::new("owed-after-return");
    let (mut viewer, mut link) = listed.stand_on_new(0xb3);
    listed.leave();
    let back = listed.listed(0, "in_service", 0);
    listed.tell(false, vec![back]);
    let (_second, newer) = listed.stand_again(0xb4, &mut link);
    viewer.write_all(platform::teardown(0xb3, Some(31)).as_bytes()).unwrap();
    let line = newer.unwrap_or(link).line().expect("the release");
    assert_eq!((&line["verb"], &line["tag"], &line["rc"]), (&"FINISH".into(), &tag(0xb3).into(), &31.into()));
}

/// The process is listed under another name at its address; its connections are the same.
#[test]
fn a_release_on_a_connection_opened_under_the_former_name_of_its_process_reaches_the_viewer() {
    let mut listed = Listed::new("renamed");
    let (mut first, mut older) = listed.stand_on_new(0xc1);
    older.finish(&tag(0xc1), 16);
    assert_released(&mut first, 0xc1, "under its first name");
    let renamed = vec![listed.listed(0, "terminated", 0), listed.listed(1, "in_service", 0)];
    listed.tell(false, renamed);
    std::thread::sleep(Duration::from_millis(100));
    let (mut viewer, _newer) = listed.stand_again(0xc2, &mut older);
    older.finish(&tag(0xc2), 16);
    assert_released(&mut viewer, 0xc2, "under its second name");
}

/// A second copy of an answer on the connection opened under the former name is no word against the session.
#[test]
fn a_second_answer_on_a_connection_opened_under_the_former_name_ends_no_session() {
    let mut listed = Listed::new("renamed-answer");
    let (mut first, mut older) = listed.stand_on_new(0xc3);
    older.finish(&tag(0xc3), 16);
    assert_released(&mut first, 0xc3, "under its first name");
    let renamed = vec![listed.listed(0, "terminated", 0), listed.listed(1, "in_service", 0)];
    listed.tell(false, renamed);
    std::thread::sleep(Duration::from_millis(100));
    let (mut viewer, newer) = listed.stand_again(0xc4, &mut older);
    let mut newer = newer.expect("a new server gets a connection of its own");
    older.started(&tag(0xc4));
    // It may be closed from here on: what the process is told comes on either.
    std::thread::sleep(Duration::from_millis(200));
    assert!(settle(&mut newer).iter().all(|line| line["verb"] != "FINISH"), "no word against what stands");
    assert_plays_on(&mut viewer, "after the copy");
    let told = std::iter::from_fn(|| older.line_now()).any(|line| line["verb"] == "FINISH");
    assert!(!told, "no word against what stands, on the older connection");
}

/// Another name at the address is another server: sessions of the former are cut, and a process that lives all the same is
/// told to let them go.
#[test]
fn a_process_whose_name_was_replaced_is_told_to_let_its_sessions_go() {
    let mut listed = Listed::new("replaced-name");
    let (mut viewer, mut link) = listed.stand_on_new(0xc5);
    let renamed = vec![listed.listed(0, "terminated", 0), listed.listed(1, "in_service", 0)];
    listed.tell(false, renamed);
    assert_released(&mut viewer, 0xc5, "its server is replaced");
    let line = link.line().expect("the release");
    assert_eq!((&line["verb"], &line["tag"]), (&"FINISH".into(), &tag(0xc5).into()), "{line}");
}

/// A name that is listed at another address is another process: sessions of the former are cut and released there, and
/// nothing about them goes to the new one.
#[test]
fn a_release_that_is_owed_to_a_server_that_moved_goes_to_its_former_process() {
    let mut listed = Listed::new("moved");
    let (mut viewer, mut link) = listed.stand_on_new(0xd1);
    let moved = Server::new();
    listed.tell(false, vec![endpoint(0, moved.address(), "in_service", 0)]);
    let mut newer = until("a set-up at the new address", || {
        listed.next_probe += 1;
        let mut probe = listed.node.connect();
        probe.write_all(setup(listed.next_probe, "clip", 50).as_bytes()).unwrap();
        let _ = message(&mut probe);
        moved.accept_now()
    });
    viewer.write_all(platform::teardown(0xd1, Some(31)).as_bytes()).unwrap();
    let told = until("the former process is told", || {
        link.line_now().filter(|line| line["verb"] == "FINISH" && line["tag"] == *tag(0xd1))
    });
    assert_eq!(told["tag"], *tag(0xd1));
    newer.stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    let strayed = std::iter::from_fn(|| newer.line_now()).any(|line| line["tag"] == *tag(0xd1));
    assert!(!strayed, "the new process knows nothing of it");
}

/// The process is another one, by its start. What is owed to it does not go where the one before is gone without a word.
#[test]
fn a_release_that_is_owed_to_a_restarted_server_goes_to_its_new_process() {
    let mut listed = Listed::new("restarted");
    let (mut first, mut older) = listed.stand_on_new(0xd3);
    // The list tells starts in whole milliseconds.
    std::thread::sleep(Duration::from_millis(20));
    let since = std::time::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64;
    let restarted = listed.listed(0, "in_service", since);
    listed.tell(false, vec![restarted]);
    assert_released(&mut first, 0xd3, "its process is another");
    let (mut viewer, newer) = listed.stand_again(0xd4, &mut older);
    let mut newer = newer.expect("the connection to the process before carries nothing more");
    viewer.write_all(platform::teardown(0xd4, Some(31)).as_bytes()).unwrap();
    let line = newer.line().expect("the release");
    assert_eq!((&line["verb"], &line["tag"]), (&"FINISH".into(), &tag(0xd4).into()), "{line}");
}
