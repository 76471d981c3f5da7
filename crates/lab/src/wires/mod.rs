//! Wires: ways from one process to another that lead over the laboratory, so that it knows who speaks to whom and can
//! cut, delay, lose, double, reset and slow down what passes.
//!
//! [`faults`] says what happens to a datagram or a part of a stream, without I/O; [`udp`] and [`tcp`] carry it. Led
//! over them are front to front (datagrams), front to discovery, viewer to front and front to server (connections).

pub mod faults;
mod tcp;
mod udp;

pub use faults::{Effect, End, Fault, FaultReport, Faults, Party, Side};
use tcp::Port;
pub use tcp::Target;

use crate::exchange::Log;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::UdpSocket;
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
    /// Where each front finds each server, and where that leads.
    servers: BTreeMap<u64, Vec<(SocketAddr, Target)>>,
    _tasks: Mutex<JoinSet<()>>,
}

pub(crate) fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Wires {
    /// Opens them, each on a port of the system's. Those to servers lead nowhere until [`Wires::set_server`].
    ///
    /// # Errors
    /// There are no more sockets.
    pub async fn start(
        fronts: usize,
        servers: &[u64],
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
        }
        let mut wire = |way, target| -> std::io::Result<SocketAddr> {
            let port = Port::new(host)?;
            let address = port.address();
            tasks.spawn(tcp::run(port, way, target, faults.clone()));
            Ok(address)
        };
        for front in 0..fronts {
            to_discovery.push(wire((Party::Front(front), Party::Discovery), Target::of(discovery))?);
            let target = Target::default();
            viewers.push(wire((Party::Viewers, Party::Front(front)), target.clone())?);
            targets.push(target);
        }
        let mut to_servers = BTreeMap::new();
        for server in servers {
            let ways = (0..fronts).map(|front| {
                let target = Target::default();
                let address = wire((Party::Front(front), Party::Server(*server)), target.clone())?;
                Ok((address, target))
            });
            to_servers.insert(*server, ways.collect::<std::io::Result<Vec<_>>>()?);
        }
        Ok(Wires {
            faults,
            members,
            discovery: to_discovery,
            viewers,
            real,
            fronts: targets,
            servers: to_servers,
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

    /// Where a front finds a server; `None`: no wire leads there.
    pub fn server(&self, front: usize, server: u64) -> Option<SocketAddr> {
        self.servers.get(&server)?.get(front).map(|(address, _)| *address)
    }

    /// A server listens there from now on; `None`: its process is gone, and fronts are refused as by itself. Guards
    /// against a wire that takes set-ups for a server that is not there: they would count as perhaps run.
    pub fn set_server(&self, server: u64, address: Option<SocketAddr>) {
        for (_, target) in self.servers.get(&server).into_iter().flatten() {
            target.set(address);
        }
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
