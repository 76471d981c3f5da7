//! A command channel that is slow, silent or moved while calls are open. No test depends on how fast the machine is: the
//! fake channel answers a call only after the session manager has made the next one.

mod platform;

use cloverhollow_platform::call_schedule::{MAX_OPEN_CALLS, MAX_PATIENCE, MIN_PATIENCE};
use platform::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::Instant;

const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

fn assert_closed(mut call: TcpStream, why: &str) {
    assert_eq!(read_head(&mut call), "", "{why}");
}

/// Ends the stream that delivered event 8 and checks that a later call follows that event. Calls that were made before the
/// event was applied may be in the accept queue.
fn assert_event_8_was_applied(stream: TcpStream, channel: &CommandChannel) {
    drop(stream);
    assert!((0..MAX_OPEN_CALLS).any(|_| channel.accept().1 == 8), "event 8 was applied");
}

/// Answers the first call after the second one was made, and checks that the first one is followed.
fn assert_late_answer_is_followed(channel: &CommandChannel) {
    let (mut first, second) = (channel.accept().0, channel.accept().0);
    let _ = first.write_all(STREAM_HEAD);
    assert_closed(second, "one call is enough");
    send_event(&mut first, &event(8, false, vec![]));
    assert_event_8_was_applied(first, channel);
}

/// Guards against review case 3: every call was given up after 1 s, so a channel that takes longer was never followed.
#[test]
fn channel_that_answers_after_the_next_call_is_followed() {
    let channel = CommandChannel::new();
    let _node = start_node("late-answer", &config(channel.address(), &[]));
    assert_late_answer_is_followed(&channel);
}

/// Guards against a stream that is given up within each event: it was requested again from the event before, and pauses
/// there again.
#[test]
fn stream_that_pauses_within_an_event_until_the_next_call_is_followed() {
    let channel = CommandChannel::new();
    let _node = start_node("late-event", &config(channel.address(), &[]));
    let (mut first, _) = channel.accept_stream();
    first.write_all(b"id: 8\ndata: ").unwrap();
    let (second, last) = channel.accept();
    assert_eq!(last, 7);
    let _ = first.write_all(format!("{}\n\n", event(8, false, vec![])).as_bytes());
    assert_closed(second, "the first stream goes on");
    assert_event_8_was_applied(first, &channel);
}

/// Guards against events of a silent stream that come after those of the stream that replaced it.
#[test]
fn silent_stream_is_closed_once_another_one_delivers_an_event() {
    let channel = CommandChannel::new();
    let _node = start_node("replaced-stream", &config(channel.address(), &[]));
    let (silent, _) = channel.accept_stream();
    let (mut second, _) = channel.accept_stream();
    send_event(&mut second, &event(8, false, vec![]));
    assert_closed(silent, "the second stream is followed alone");
    assert_event_8_was_applied(second, &channel);
}

/// Guards against calls that are left open at a former address, and against hanging up on a new one that is slow.
#[test]
fn channel_that_moves_while_calls_are_open_is_followed_at_its_new_address_only() {
    let (former, channel) = (CommandChannel::new(), CommandChannel::new());
    let node = start_node("moved", &config(former.address(), &[]));
    let open = [former.accept().0, former.accept().0];
    node.reload_config(&config(channel.address(), &[]));
    open.into_iter().for_each(|call| assert_closed(call, "the channel has moved"));
    assert_late_answer_is_followed(&channel);
}

/// Guards against a storm of calls at a channel that accepts them and is too crowded to answer; a loaded machine only makes
/// the gaps longer.
#[test]
fn calls_at_a_channel_that_never_answers_become_rare() {
    let channel = CommandChannel::new();
    let started_at = Instant::now();
    let node = start_node("crowded", &config(channel.address(), &[]));
    let _calls = [(); 4].map(|()| channel.accept());
    let least = MIN_PATIENCE + 2 * MIN_PATIENCE + MAX_PATIENCE;
    assert!(started_at.elapsed() >= least, "{:?}", started_at.elapsed());
    assert!(node.passes_readiness_check());
}
