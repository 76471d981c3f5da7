//! Words of another crate between two members: carried whole, once, bounded.

use cloverhollow_members::*;
use std::net::SocketAddr;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn address(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], n).into()
}

fn member(n: u16) -> Member {
    let life = Life { number: 1, token: n.into() };
    let me = Who { address: address(n), side: None, name: format!("m{n}").into(), hall: "h".into(), life };
    let keys = vec![Key { id: 1, secret: vec![7; 16] }];
    let (swim, lease) = (SwimSettings::default(), Duration::from_secs(4));
    Member::new(NOW, MemberSettings { me, keys, swim, lease, witnesses: Vec::new(), seed: 1 })
}

#[test]
fn a_word_is_carried_whole_and_taken_once() {
    let (mut one, mut two) = (member(1), member(2));
    assert!(one.say_other(address(2), vec![1, 2, 3]));
    let out = one.take_out();
    assert_eq!((out.len(), out[0].to), (1, address(2)));
    two.datagram(NOW, &out[0].bytes).unwrap();
    assert_eq!(two.datagram(NOW, &out[0].bytes), Err(Refused::Repeated));
    assert_eq!(two.take_other(), [vec![1, 2, 3]]);
    assert!(two.take_other().is_empty());
}

#[test]
fn the_longest_that_fits_into_a_datagram_goes_and_a_longer_one_is_refused() {
    let mut one = member(1);
    let longest = (0..MOST_DATAGRAM).rev().find(|n| one.say_other(address(2), vec![0; *n])).unwrap();
    let out = one.take_out();
    assert_eq!((out.len(), out[0].bytes.len()), (1, MOST_DATAGRAM), "of {longest} bytes");
    assert!(!one.say_other(address(2), vec![0; longest + 1]));
    assert!(one.take_out().is_empty());
}

#[test]
fn words_that_nobody_takes_are_bounded() {
    let (mut one, mut two) = (member(1), member(2));
    for n in 0..=MOST_OTHER {
        assert!(one.say_other(address(2), vec![1]));
        let taken = two.datagram(NOW, &one.take_out()[0].bytes);
        assert_eq!(taken, if n < MOST_OTHER { Ok(()) } else { Err(Refused::TooManyWords) });
    }
    assert_eq!(two.take_other().len(), MOST_OTHER);
}
