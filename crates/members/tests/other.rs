//! Words of another crate between two members: carried whole, once, bounded.

use cloverhollow_members::*;
use std::net::SocketAddr;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn address(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], n).into()
}

fn member(n: u16) -> Member {
    let incarnation = Incarnation { number: 1, token: n.into() };
    let me = MemberId {
        address: address(n),
        side_address: None,
        name: format!("m{n}").into(),
        zone: "h".into(),
        incarnation,
    };
    let keys = vec![Key { id: 1, secret: vec![7; 16] }];
    let (swim, lease) = (SwimConfig::default(), Duration::from_secs(4));
    Member::new(
        NOW,
        MemberConfig { local_id: me, keys, swim, lease_duration: lease, witnesses: Vec::new(), seed: 1 },
    )
}

#[test]
fn a_word_is_carried_whole_and_taken_once() {
    let (mut one, mut two) = (member(1), member(2));
    assert!(one.send_application_message(address(2), vec![1, 2, 3]));
    let out = one.take_datagrams();
    assert_eq!((out.len(), out[0].to), (1, address(2)));
    two.handle_datagram(NOW, &out[0].bytes).unwrap();
    assert_eq!(two.handle_datagram(NOW, &out[0].bytes), Err(ReceiveError::Replayed));
    assert_eq!(two.take_application_messages(), [vec![1, 2, 3]]);
    assert!(two.take_application_messages().is_empty());
}

#[test]
fn the_longest_that_fits_into_a_datagram_goes_and_a_longer_one_is_refused() {
    let mut one = member(1);
    let longest = (0..MAX_DATAGRAM_BYTES)
        .rev()
        .find(|n| one.send_application_message(address(2), vec![0; *n]))
        .unwrap();
    let out = one.take_datagrams();
    assert_eq!((out.len(), out[0].bytes.len()), (1, MAX_DATAGRAM_BYTES), "of {longest} bytes");
    assert!(!one.send_application_message(address(2), vec![0; longest + 1]));
    assert!(one.take_datagrams().is_empty());
}

#[test]
fn words_that_nobody_takes_are_bounded() {
    let (mut one, mut two) = (member(1), member(2));
    for n in 0..=MAX_QUEUED_APPLICATION_MESSAGES {
        assert!(one.send_application_message(address(2), vec![1]));
        let taken = two.handle_datagram(NOW, &one.take_datagrams()[0].bytes);
        assert_eq!(
            taken,
            if n < MAX_QUEUED_APPLICATION_MESSAGES { Ok(()) } else { Err(ReceiveError::QueueFull) }
        );
    }
    assert_eq!(two.take_application_messages().len(), MAX_QUEUED_APPLICATION_MESSAGES);
}
