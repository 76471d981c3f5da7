//! Connections: one listener for each pair of parties. A silent wire takes connections and carries nothing: what a cut
//! network does to those that stand; that new ones never come up needs a fuller backlog than a listener can be made
//! to have, and is not shown.

use super::faults::{Faults, Party};
use super::lock;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// How often a held wire looks whether it is free again.
const LOOK: Duration = Duration::from_millis(5);
/// Most bytes that are on the way in one direction of one connection.
const PART: usize = 16 * 1024;

/// Where a wire leads now; nowhere before that is set.
#[derive(Clone, Default)]
pub struct Target(Arc<Mutex<Option<SocketAddr>>>);

impl Target {
    /// There.
    pub fn of(address: SocketAddr) -> Target {
        Target(Arc::new(Mutex::new(Some(address))))
    }

    /// There from now on; `None`: nowhere, and the wire refuses as a port does where nobody listens.
    pub fn set(&self, address: Option<SocketAddr>) {
        *lock(&self.0) = address;
    }

    fn get(&self) -> Option<SocketAddr> {
        *lock(&self.0)
    }
}

/// Carries connections of one pair until it is dropped, and they with it.
pub(super) async fn run(listener: TcpListener, way: (Party, Party), target: Target, faults: Arc<Faults>) {
    let Ok(address) = listener.local_addr() else { return };
    let mut listener = Some(listener);
    let mut connections = JoinSet::new();
    loop {
        if target.get().is_none() || faults.stream(way.0, way.1, false).refused {
            listener = None; // nobody listens: the system refuses
        } else if listener.is_none() {
            listener = TcpListener::bind(address).await.ok();
        }
        let Some(listening) = &listener else {
            // What it would have refused is told to the tally.
            sleep(LOOK).await;
            faults.stream(way.0, way.1, true);
            continue;
        };
        tokio::select! {
            accepted = listening.accept() => {
                let (Ok((near, _)), Some(far)) = (accepted, target.get()) else { continue };
                let faults = faults.clone();
                connections.spawn(async move { carry(near, far, way, &faults).await });
            }
            Some(_) = connections.join_next() => {}
            () = sleep(LOOK) => {}
        }
    }
}

async fn carry(mut near: TcpStream, far: SocketAddr, way: (Party, Party), faults: &Faults) {
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
        let mut met = faults.stream(way.0, way.1, false);
        while met.silent {
            sleep(LOOK).await;
            met = faults.stream(way.0, way.1, false);
        }
        if met.reset {
            return Err(());
        }
        if !met.delay.is_zero() {
            sleep(met.delay).await;
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
