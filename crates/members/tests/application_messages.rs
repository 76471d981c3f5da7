//! Application messages between two members are delivered unchanged and once, and their queue is bounded.

use cloverhollow_members::*;
use std::net::SocketAddr;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn address(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], n).into()
}

fn member(n: u16) -> Member {
    let incarnation = Incarnation { number: 1, token: n.into() };
    let local_id = MemberId {
        address: address(n),
        side_address: None,
        name: format!("m{n}").into(),
        zone: "h".into(),
        incarnation,
    };
    let keys = vec![Key { id: 1, secret: vec![7; 16] }];
    let (swim, lease_duration) = (SwimConfig::default(), Duration::from_secs(4));
    Member::new(NOW, MemberConfig { local_id, keys, swim, lease_duration, witnesses: Vec::new(), seed: 1 })
}

#[test]
fn a_message_is_delivered_unchanged_and_once() {
    let (mut sender, mut receiver) = (member(1), member(2));
    assert!(sender.send_application_message(address(2), vec![1, 2, 3]));
    let sent = sender.take_datagrams();
    assert_eq!((sent.len(), sent[0].to), (1, address(2)));
    receiver.handle_datagram(NOW, &sent[0].bytes).unwrap();
    assert_eq!(receiver.handle_datagram(NOW, &sent[0].bytes), Err(ReceiveError::Replayed));
    assert_eq!(receiver.take_application_messages(), [vec![1, 2, 3]]);
    assert!(receiver.take_application_messages().is_empty());
}

#[test]
fn a_message_that_fills_a_datagram_is_sent_and_a_longer_one_is_not() {
    let mut sender = member(1);
    let longest = (0..MAX_DATAGRAM_BYTES)
        .rev()
        .find(|n| sender.send_application_message(address(2), vec![0; *n]))
        .unwrap();
    let sent = sender.take_datagrams();
    assert_eq!((sent.len(), sent[0].bytes.len()), (1, MAX_DATAGRAM_BYTES), "message of {longest} bytes");
    assert!(!sender.send_application_message(address(2), vec![0; longest + 1]));
    assert!(sender.take_datagrams().is_empty());
}

#[test]
fn the_queue_of_received_messages_is_bounded() {
    let (mut sender, mut receiver) = (member(1), member(2));
    for n in 0..=MAX_QUEUED_APPLICATION_MESSAGES {
        assert!(sender.send_application_message(address(2), vec![1]));
        let result = receiver.handle_datagram(NOW, &sender.take_datagrams()[0].bytes);
        let expected =
            if n < MAX_QUEUED_APPLICATION_MESSAGES { Ok(()) } else { Err(ReceiveError::QueueFull) };
        assert_eq!(result, expected);
    }
    assert_eq!(receiver.take_application_messages().len(), MAX_QUEUED_APPLICATION_MESSAGES);
}
