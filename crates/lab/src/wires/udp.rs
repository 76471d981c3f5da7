//! Datagrams between fronts. A front's wire is a socket where all others send; who sent is told by the sender's own
//! socket. A datagram of nobody that is known goes on as it is: strangers are part of the day.

use super::faults::{Faults, Party};
use super::lock;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;

/// Most datagrams that are late at a time, on one wire; one past them is lost.
const MOST_LATE: usize = 4_096;

/// Where fronts listen, and whose socket an address is.
pub(super) struct Real {
    of: Mutex<Vec<Option<SocketAddr>>>,
    who: Mutex<HashMap<SocketAddr, usize>>,
}

impl Real {
    pub(super) fn new(fronts: usize) -> Real {
        Real { of: Mutex::new(vec![None; fronts]), who: Mutex::default() }
    }

    pub(super) fn set(&self, front: usize, address: SocketAddr) {
        lock(&self.of)[front] = Some(address);
        lock(&self.who).insert(address, front);
    }
}

pub(super) async fn run(socket: UdpSocket, to: usize, real: Arc<Real>, faults: Arc<Faults>) {
    let socket = Arc::new(socket);
    let late = Arc::new(Semaphore::new(MOST_LATE));
    let mut buf = [0; 2_048];
    loop {
        // An error here is an earlier datagram's that nobody took.
        let Ok((n, from)) = socket.recv_from(&mut buf).await else { continue };
        let Some(target) = lock(&real.of)[to] else { continue };
        let sender = lock(&real.who).get(&from).copied();
        let copies = match sender {
            Some(front) => faults.datagram(Party::Front(front), Party::Front(to)),
            None => vec![std::time::Duration::ZERO],
        };
        for after in copies {
            if after.is_zero() {
                let _ = socket.try_send_to(&buf[..n], target);
                continue;
            }
            let Ok(permit) = late.clone().try_acquire_owned() else { continue };
            let (socket, bytes) = (socket.clone(), buf[..n].to_vec());
            tokio::spawn(async move {
                tokio::time::sleep(after).await;
                let _ = socket.try_send_to(&bytes, target);
                drop(permit);
            });
        }
    }
}
