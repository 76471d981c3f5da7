//! Wires: ways from one process to another that lead over the laboratory, so that it knows who speaks to whom and can
//! cut, delay, lose, double, reset and slow down what passes.
//!
//! [`faults`] says what happens to a datagram or a part of a stream, without I/O; [`udp`] and [`tcp`] carry it. Led
//! over them are front to front (datagrams), front to discovery and viewer to front (connections).

pub mod faults;
mod tcp;
mod udp;

pub use faults::{Effect, End, Fault, FaultReport, Faults, Party, Side};
pub use tcp::Target;

use crate::exchange::Log;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinSet;

/// All wires of a day. Dropping them cuts all of them.
pub struct Wires {
    /// What befalls them.
    pub faults: Arc<Faults>,
    members: Vec<SocketAddr>,
    discovery: Vec<SocketAddr>,
    viewers: Vec<SocketAddr>,
    /// Where fronts listen for datagrams, and for viewers.
    real: Arc<udp::Real>,
    fronts: Vec<Target>,
    _tasks: Mutex<JoinSet<()>>,
}

pub(crate) fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Wires {
    /// Opens them, each on a port of the system's.
    ///
    /// # Errors
    /// There are no more sockets.
    pub async fn start(
        fronts: usize,
        discovery: SocketAddr,
        host: Ipv4Addr,
        seed: u64,
        log: Arc<Log>,
    ) -> std::io::Result<Wires> {
        let faults = Arc::new(Faults::new(seed, log));
        let real = Arc::new(udp::Real::new(fronts));
        let mut tasks = JoinSet::new();
        let (mut members, mut to_discovery, mut viewers, mut targets) = (vec![], vec![], vec![], vec![]);
        for front in 0..fronts {
            let socket = UdpSocket::bind((host, 0)).await?;
            members.push(socket.local_addr()?);
            tasks.spawn(udp::run(socket, front, real.clone(), faults.clone()));
            let listener = TcpListener::bind((host, 0)).await?;
            to_discovery.push(listener.local_addr()?);
            let way = (Party::Front(front), Party::Discovery);
            tasks.spawn(tcp::run(listener, way, Target::of(discovery), faults.clone()));
            let listener = TcpListener::bind((host, 0)).await?;
            viewers.push(listener.local_addr()?);
            let target = Target::default();
            targets.push(target.clone());
            tasks.spawn(tcp::run(listener, (Party::Viewers, Party::Front(front)), target, faults.clone()));
        }
        Ok(Wires {
            faults,
            members,
            discovery: to_discovery,
            viewers,
            real,
            fronts: targets,
            _tasks: Mutex::new(tasks),
        })
    }

    /// Where others send a front's datagrams.
    pub fn member(&self, front: usize) -> SocketAddr {
        self.members[front]
    }

    /// Where a front finds discovery.
    pub fn discovery(&self, front: usize) -> SocketAddr {
        self.discovery[front]
    }

    /// Where viewers find a front.
    pub fn viewers(&self, front: usize) -> SocketAddr {
        self.viewers[front]
    }

    /// A front is about to die: viewers are refused, as they would be by itself. Guards the check of rule 1 against
    /// calls that a wire took for a front that was not there.
    pub fn front_dies(&self, front: usize) {
        self.fronts[front].set(None);
    }

    /// A front has started and listens there.
    pub fn set_front(&self, front: usize, address: SocketAddr, member: Option<SocketAddr>) {
        self.fronts[front].set(Some(address));
        if let Some(member) = member {
            self.real.set(front, member);
        }
    }
}
