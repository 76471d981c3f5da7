//! Connections: one listener for each pair of parties. A silent wire carries nothing on those that stand, and sets free
//! what was held back when it is over. A cut network lets no new connection come up; a listener can't be made not to
//! take one, so one that is made during a silence carries nothing, and is reset when the silence is over.

use super::faults::{Faults, Party, Stream};
use crate::exchange::Seen;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Connections that wait to be taken, at most.
const BACKLOG: u32 = 1_024;
/// Wait before a listener is opened anew that the system did not give.
const AGAIN: Duration = Duration::from_millis(5);
/// Most bytes that are on the way in one direction of one connection.
const PART: usize = 16 * 1024;

/// Where a wire leads now; nowhere before that is set.
#[derive(Clone)]
pub struct Target(watch::Sender<Option<SocketAddr>>);

impl Default for Target {
    fn default() -> Target {
        Target(watch::channel(None).0)
    }
}

impl Target {
    /// There.
    pub fn of(address: SocketAddr) -> Target {
        Target(watch::channel(Some(address)).0)
    }

    /// There from now on; `None`: nowhere, and the wire refuses as a port does where nobody listens.
    pub fn set(&self, address: Option<SocketAddr>) {
        self.0.send_replace(address);
    }

    fn get(&self) -> Option<SocketAddr> {
        *self.0.borrow()
    }
}

/// A port of a wire's, held whether it listens or refuses. Guards against another process of the day that is given the
/// port of a wire that refuses, and takes the connections meant for it.
pub(super) struct Port {
    address: SocketAddr,
    /// Bound, and never listens.
    _held: TcpSocket,
    /// It listens from the start.
    first: Option<TcpListener>,
}

impl Port {
    /// One of the system's.
    pub(super) fn new(host: Ipv4Addr) -> std::io::Result<Port> {
        let held = Port::bind((host, 0).into())?;
        let mut port = Port { address: held.local_addr()?, _held: held, first: None };
        port.first = Some(port.listen()?);
        Ok(port)
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    fn bind(address: SocketAddr) -> std::io::Result<TcpSocket> {
        let socket = TcpSocket::new_v4()?;
        // Not `reuseaddr`: who has that too is given the port.
        socket.set_reuseport(true)?;
        socket.bind(address)?;
        Ok(socket)
    }

    fn listen(&self) -> std::io::Result<TcpListener> {
        Port::bind(self.address)?.listen(BACKLOG)
    }
}

/// Carries connections of one pair until it is dropped, and they with it.
pub(super) async fn run(mut port: Port, way: (Party, Party), target: Target, faults: Arc<Faults>) {
    let mut listener = port.first.take();
    let mut connections = JoinSet::new();
    let (mut changes, mut moves) = (faults.changes(), target.0.subscribe());
    loop {
        // Looked at before what they say is, lest a change between is missed.
        changes.borrow_and_update();
        let nowhere = moves.borrow_and_update().is_none();
        if nowhere || faults.stream(way.0, way.1, 0).refused {
            listener = None; // nobody listens: the system refuses
        } else if listener.is_none() {
            listener = port.listen().ok();
            if listener.is_none() {
                sleep(AGAIN).await;
                continue;
            }
        }
        let accepted = async {
            match &listener {
                Some(listening) => listening.accept().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            accepted = accepted => {
                let (Ok((near, _)), Some(far)) = (accepted, target.get()) else { continue };
                let faults = faults.clone();
                connections.spawn(async move { carry(near, far, way, &faults).await });
            }
            Some(_) = connections.join_next() => {}
            _ = changes.changed() => {}
            _ = moves.changed() => {}
        }
    }
}

/// Waits until nothing holds back what passes that way, and tells what `bytes` of it meet then, and whether they waited.
async fn free(faults: &Faults, way: (Party, Party), bytes: usize) -> (Stream, bool) {
    let mut changes = faults.changes();
    let mut held = false;
    loop {
        changes.borrow_and_update();
        let met = faults.stream(way.0, way.1, bytes);
        if !met.silent || changes.changed().await.is_err() {
            return (met, held);
        }
        held = true;
    }
}

async fn carry(mut near: TcpStream, far: SocketAddr, way: (Party, Party), faults: &Faults) {
    // Coming up takes both ways.
    let (_, there) = free(faults, way, 0).await;
    let (_, back) = free(faults, (way.1, way.0), 0).await;
    if there || back {
        return reset(&near);
    }
    let Ok(mut far) = TcpStream::connect(far).await else { return reset(&near) };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    if relay(&mut near, &mut far, way, faults).await.is_err() {
        reset(&near);
        reset(&far);
    }
}

/// Both ways until both have ended; `Err`: the connection breaks.
async fn relay(
    near: &mut TcpStream,
    far: &mut TcpStream,
    way: (Party, Party),
    faults: &Faults,
) -> Result<(), ()> {
    let ((near_in, near_out), (far_in, far_out)) = (near.split(), far.split());
    let there = pass(near_in, far_out, (way.0, way.1), faults);
    let back = pass(far_in, near_out, (way.1, way.0), faults);
    // One way may end before the other, as connections do.
    tokio::pin!(there, back);
    let (mut there_done, mut back_done) = (None, None);
    while there_done.is_none() || back_done.is_none() {
        let broken = tokio::select! {
            r = &mut there, if there_done.is_none() => { there_done = Some(()); r }
            r = &mut back, if back_done.is_none() => { back_done = Some(()); r }
        };
        broken?;
    }
    Ok(())
}

/// Its close is a reset.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// One direction until its end; `Err`: the connection breaks.
async fn pass(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    way: (Party, Party),
    faults: &Faults,
) -> Result<(), ()> {
    let mut buf = vec![0; PART];
    loop {
        let n = from.read(&mut buf).await.map_err(|_| ())?;
        let entered = faults.log().now();
        // An end counts as a byte: it is held back and comes late as they are.
        let (met, held) = free(faults, way, n.max(1)).await;
        if met.reset {
            return Err(());
        }
        if !met.delay.is_zero() {
            sleep(met.delay).await;
        }
        if let (true, (Party::Front(front), Party::Server(server))) = (held || !met.delay.is_zero(), way) {
            faults.log().put(Seen::WireLate { front, server, entered });
        }
        if n == 0 {
            return to.shutdown().await.map_err(|_| ());
        }
        match met.rate {
            None => to.write_all(&buf[..n]).await.map_err(|_| ())?,
            Some(rate) => {
                // Fifty parts a second, one byte at the least.
                for part in buf[..n].chunks((rate / 50).max(1) as usize) {
                    to.write_all(part).await.map_err(|_| ())?;
                    sleep(Duration::from_secs_f64(part.len() as f64 / rate.max(1) as f64)).await;
                }
            }
        }
    }
}
