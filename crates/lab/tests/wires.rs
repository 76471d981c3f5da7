//! Each fault of a wire is seen on the sockets at its ends.

use cloverhollow_lab::exchange::Log;
use cloverhollow_lab::wires::{Effect, End, Fault, Side, Wires};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::{timeout, Instant};

const SERVER: u64 = 8;
const LONG: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(150);

struct Rig {
    wires: Wires,
    /// The members' own sockets.
    members: Vec<UdpSocket>,
    /// Where front 0 listens for viewers.
    listener: TcpListener,
}

impl Rig {
    async fn new() -> Rig {
        let discovery = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let log = Arc::new(Log::begin());
        let at = discovery.local_addr().unwrap();
        let wires = Wires::start(3, &[SERVER], at, Ipv4Addr::LOCALHOST, 7, log).await.unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut members = Vec::new();
        for front in 0..3 {
            let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
            wires.set_front(front, listener.local_addr().unwrap(), Some(socket.local_addr().unwrap()));
            members.push(socket);
        }
        Rig { wires, members, listener }
    }

    fn fault(&self, effect: Effect, side: Side, among: bool) -> u64 {
        let to = BTreeSet::from([End::Fronts, End::Viewers, End::Servers]);
        let servers = BTreeSet::new();
        self.wires.faults.begin(Fault { effect, fronts: BTreeSet::from([0]), servers, side, among, to })
    }

    /// Sends `n` datagrams and takes what arrives until nothing has for a while: their numbers, in order.
    async fn datagrams(&self, from: usize, to: usize, n: u8) -> Vec<u8> {
        for i in 0..n {
            self.members[from].send_to(&[i], self.wires.member(to)).await.unwrap();
            tokio::task::yield_now().await;
        }
        let (mut got, mut buf) = (Vec::new(), [0; 8]);
        while let Ok(Ok(_)) = timeout(SHORT * 3, self.members[to].recv(&mut buf)).await {
            got.push(buf[0]);
        }
        got
    }

    async fn until_refused(&self, at: SocketAddr) {
        let begun = Instant::now();
        loop {
            assert!(begun.elapsed() < LONG, "never refused");
            match TcpStream::connect(at).await {
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => return,
                // One that came in the instant in which the listener closed is reset.
                _ => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    }

    /// A connection of a viewer to front 0: its two ends.
    async fn connection(&self) -> (TcpStream, TcpStream) {
        let near = TcpStream::connect(self.wires.viewers(0)).await.unwrap();
        let (far, _) = timeout(LONG, self.listener.accept()).await.unwrap().unwrap();
        (near, far)
    }
}

#[tokio::test]
async fn datagrams_are_lost_one_way_both_ways_or_in_part() {
    let rig = Rig::new().await;
    assert_eq!(rig.datagrams(0, 1, 50).await, (0..50).collect::<Vec<_>>(), "a wire without a fault");
    let out = rig.fault(Effect::Silent, Side::Out, false);
    assert_eq!((rig.datagrams(0, 1, 5).await.len(), rig.datagrams(1, 0, 5).await.len()), (0, 5));
    assert_eq!(rig.datagrams(1, 2, 5).await.len(), 5, "others are untouched");
    rig.wires.faults.end(out);
    let both = rig.fault(Effect::Silent, Side::Both, false);
    assert_eq!((rig.datagrams(0, 1, 5).await.len(), rig.datagrams(1, 0, 5).await.len()), (0, 0));
    rig.wires.faults.end(both);
    let part = rig.fault(Effect::Loss(0.4), Side::Both, true);
    let got = rig.datagrams(0, 1, 250).await.len();
    assert!((110..190).contains(&got), "{got} of 250");
    rig.wires.faults.end(part);
    assert_eq!(rig.datagrams(0, 1, 5).await.len(), 5, "it is over");
    // What truly happened is told as the wires saw it.
    let reports = rig.wires.faults.reports();
    assert_eq!((reports[0].datagrams, reports[1].datagrams), (5, 10));
    assert_eq!(reports[2].datagrams as usize, 250 - got);
    assert!(reports.iter().all(|r| r.first_ms >= Some(r.from_ms) && r.last_ms <= r.until_ms));
}

#[tokio::test]
async fn datagrams_come_late_out_of_order_or_twice() {
    let rig = Rig::new().await;
    let late = rig.fault(Effect::Delay(Duration::from_millis(100)), Side::Both, true);
    let begun = Instant::now();
    let got = rig.datagrams(0, 1, 40).await;
    assert!(begun.elapsed() >= Duration::from_millis(100) && got.len() == 40);
    assert!(got.windows(2).any(|w| w[0] > w[1]), "out of order");
    rig.wires.faults.end(late);
    let twice = rig.fault(Effect::Double(1.0), Side::Both, true);
    let mut got = rig.datagrams(0, 1, 20).await;
    got.sort();
    assert_eq!(got, (0..20).flat_map(|i| [i, i]).collect::<Vec<_>>());
    rig.wires.faults.end(twice);
}

#[tokio::test]
async fn bytes_are_held_back_and_set_free() {
    let rig = Rig::new().await;
    let (mut near, mut far) = rig.connection().await;
    near.write_all(b"one").await.unwrap();
    let mut buf = [0; 3];
    far.read_exact(&mut buf).await.unwrap();
    let cut = rig.fault(Effect::Silent, Side::In, false);
    near.write_all(b"two").await.unwrap();
    far.write_all(b"not").await.unwrap();
    near.read_exact(&mut buf).await.unwrap();
    assert_eq!(&buf, b"not", "the other way is whole");
    assert!(timeout(SHORT, far.read_exact(&mut buf)).await.is_err(), "held back");
    rig.wires.faults.end(cut);
    timeout(LONG, far.read_exact(&mut buf)).await.unwrap().unwrap();
    assert_eq!(&buf, b"two", "and set free");
}

#[tokio::test]
async fn connections_are_refused_and_reset() {
    let rig = Rig::new().await;
    let (mut near, mut far) = rig.connection().await;
    let refuse = rig.fault(Effect::Refused, Side::Both, false);
    rig.until_refused(rig.wires.viewers(0)).await;
    rig.wires.faults.end(refuse);
    rig.wires.front_dies(0);
    rig.until_refused(rig.wires.viewers(0)).await;
    rig.wires.set_front(0, rig.listener.local_addr().unwrap(), None);
    near.write_all(b"x").await.unwrap();
    let mut buf = [0; 1];
    timeout(LONG, far.read_exact(&mut buf)).await.unwrap().unwrap();
    let reset = rig.fault(Effect::Reset, Side::Both, false);
    near.write_all(b"x").await.unwrap();
    let error = timeout(LONG, near.read(&mut buf)).await.unwrap().unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    rig.wires.faults.end(reset);
}

/// A viewer's call went to a process that was given the port of a wire that refused.
#[tokio::test]
async fn a_port_that_refuses_is_given_to_nobody_else() {
    let rig = Rig::new().await;
    let at = rig.wires.viewers(0);
    rig.wires.front_dies(0);
    rig.until_refused(at).await;
    let taken = TcpListener::bind(at).await;
    assert!(taken.is_err(), "another has it now");
    rig.wires.set_front(0, rig.listener.local_addr().unwrap(), None);
    let begun = Instant::now();
    while TcpStream::connect(at).await.is_err() {
        assert!(begun.elapsed() < LONG, "it listens again");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_trickle_is_slow_and_whole() {
    let rig = Rig::new().await;
    let (mut near, mut far) = rig.connection().await;
    rig.fault(Effect::Trickle(10_000), Side::Both, false);
    let begun = Instant::now();
    near.write_all(&[7; 5_000]).await.unwrap();
    let mut buf = vec![0; 5_000];
    timeout(LONG, far.read_exact(&mut buf)).await.unwrap().unwrap();
    assert!(buf.iter().all(|b| *b == 7) && begun.elapsed() >= Duration::from_millis(400));
}

#[tokio::test]
async fn a_front_reaches_a_server_over_its_own_wire_and_nobody_where_it_does_not_run() {
    let rig = Rig::new().await;
    let at = |front| rig.wires.server(front, SERVER).unwrap();
    rig.until_refused(at(0)).await;
    rig.wires.set_server(SERVER, Some(rig.listener.local_addr().unwrap()));
    let mut ends = Vec::new();
    for front in [0, 1] {
        let begun = Instant::now();
        let near = loop {
            assert!(begun.elapsed() < LONG);
            match TcpStream::connect(at(front)).await {
                Ok(near) => break near,
                Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        };
        let (far, _) = timeout(LONG, rig.listener.accept()).await.unwrap().unwrap();
        ends.push((near, far));
    }
    // Cut off from it, one front's bytes wait, and a new connection of its carries nothing and is reset in the end.
    let cut = rig.fault(Effect::Silent, Side::Both, false);
    let (mut late, mut buf) = (TcpStream::connect(at(0)).await.unwrap(), [0; 1]);
    late.write_all(b"n").await.unwrap();
    for (near, _) in &mut ends {
        near.write_all(b"x").await.unwrap();
    }
    timeout(LONG, ends[1].1.read_exact(&mut buf)).await.unwrap().unwrap();
    assert!(timeout(SHORT, ends[0].1.read_exact(&mut buf)).await.is_err(), "held back");
    rig.wires.faults.end(cut);
    timeout(LONG, ends[0].1.read_exact(&mut buf)).await.unwrap().unwrap();
    assert!(timeout(LONG, late.read(&mut buf)).await.unwrap().is_err(), "reset");
    assert!(timeout(SHORT, rig.listener.accept()).await.is_err(), "and never led on");
}

#[tokio::test]
async fn what_passes_within_a_hall_goes_on_while_it_is_cut_off() {
    let rig = Rig::new().await;
    rig.wires.set_server(SERVER, Some(rig.listener.local_addr().unwrap()));
    let (fronts, servers) = (BTreeSet::from([0]), BTreeSet::from([SERVER]));
    let to = BTreeSet::from([End::Fronts, End::Servers]);
    let cut = Fault { effect: Effect::Silent, fronts, servers, side: Side::Both, among: false, to };
    rig.wires.faults.begin(cut);
    let reaches = async |front| {
        let mut near = TcpStream::connect(rig.wires.server(front, SERVER).unwrap()).await.unwrap();
        near.write_all(b"x").await.unwrap();
        timeout(SHORT, rig.listener.accept()).await.is_ok()
    };
    let begun = Instant::now();
    while !reaches(0).await {
        assert!(begun.elapsed() < LONG, "its own front reaches the server");
    }
    assert!(!reaches(1).await, "another does not");
    assert_eq!(rig.datagrams(1, 0, 5).await.len(), 0);
    assert_eq!(rig.datagrams(1, 2, 5).await.len(), 5);
}

#[tokio::test]
async fn connections_of_one_pair_share_a_bound() {
    let rig = Rig::new().await;
    let (mut one, mut two) = (rig.connection().await, rig.connection().await);
    rig.fault(Effect::Bound(20_000), Side::Both, false);
    let begun = Instant::now();
    let mut buf = vec![0; 5_000];
    for (near, _) in [&mut one, &mut two] {
        near.write_all(&[7; 5_000]).await.unwrap();
    }
    for (_, far) in [&mut one, &mut two] {
        timeout(LONG, far.read_exact(&mut buf)).await.unwrap().unwrap();
    }
    assert!(begun.elapsed() >= Duration::from_millis(400), "{:?} for 10 kB at 20 kB/s", begun.elapsed());
}

#[tokio::test]
async fn datagrams_come_again_by_the_dozen() {
    let rig = Rig::new().await;
    rig.fault(Effect::Again(30), Side::Out, false);
    let got = rig.datagrams(0, 1, 4).await;
    assert!((0..4).all(|i| got.iter().filter(|g| **g == i).count() == 31), "{got:?}");
}
