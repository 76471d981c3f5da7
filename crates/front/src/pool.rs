//! Connections to servers: kept for reuse, capped for each server.

use cloverhollow::ServerId;
use cloverhollow_net::{connect, ClientConn};
use cloverhollow_settings::Servers;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Why there is no connection. No byte was sent in any case.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LeaseError {
    #[error("all connections to the server are in use")]
    Busy,
    #[error("no connection: {0}")]
    NotConnected(std::io::Error),
}

/// The pools of all servers; as many as the list has named.
#[derive(Debug)]
pub(crate) struct Pools {
    map: papaya::HashMap<ServerId, Arc<Pool>>,
    most: usize,
    connect: Duration,
    idle: Duration,
}

#[derive(Debug)]
struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<(ClientConn, Instant)>>,
    room: Arc<Semaphore>,
}

/// A connection in use. It goes back by [`Lease::give_back`]; dropped, it is closed.
#[derive(Debug)]
pub(crate) struct Lease {
    conn: ClientConn,
    pool: Arc<Pool>,
    /// Whether it has carried an exchange before.
    pub(crate) used: bool,
    _room: OwnedSemaphorePermit,
}

impl Pools {
    pub(crate) fn new(settings: &Servers) -> Self {
        Pools {
            map: papaya::HashMap::new(),
            most: settings.max_connections.as_usize(),
            connect: settings.connect_timeout_ms.get(),
            idle: settings.idle_timeout_ms.get(),
        }
    }

    fn pool(&self, server: ServerId, address: SocketAddr) -> Arc<Pool> {
        let new = || {
            let room = Arc::new(Semaphore::new(self.most));
            Arc::new(Pool { address, idle: Mutex::default(), room })
        };
        let map = self.map.pin();
        let pool = map.get_or_insert_with(server, new);
        if pool.address == address {
            return pool.clone();
        }
        // The server has moved; connections to the old address end with their leases.
        let moved = new();
        map.insert(server, moved.clone());
        moved
    }

    /// A connection, within `servers.connect_ms` in all. `fresh`: one that nothing was sent on before.
    ///
    /// Dropping the future drops the connection that was being made.
    pub(crate) async fn lease(
        &self,
        server: ServerId,
        address: SocketAddr,
        fresh: bool,
    ) -> Result<Lease, LeaseError> {
        let pool = self.pool(server, address);
        let begun = Instant::now();
        let room = timeout(self.connect, pool.room.clone().acquire_owned()).await;
        let Ok(Ok(room)) = room else { return Err(LeaseError::Busy) };
        if !fresh {
            while let Some(conn) = pool.take(self.idle) {
                if conn.is_open_and_idle() {
                    return Ok(Lease { conn, pool, used: true, _room: room });
                }
            }
        }
        let left = self.connect.saturating_sub(begun.elapsed());
        let late = || std::io::Error::from(std::io::ErrorKind::TimedOut);
        let conn = timeout(left, connect(address)).await.unwrap_or_else(|_| Err(late()));
        match conn {
            Ok(conn) => Ok(Lease { conn, pool, used: false, _room: room }),
            Err(e) => Err(LeaseError::NotConnected(e)),
        }
    }
}

impl Pool {
    /// The connection used last, if it has not been idle for too long. What is older is closed.
    fn take(&self, idle: Duration) -> Option<ClientConn> {
        let mut all = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let old = all.iter().take_while(|(_, t)| t.elapsed() >= idle).count();
        all.drain(..old);
        all.pop().map(|(conn, _)| conn)
    }
}

impl Lease {
    pub(crate) fn conn(&mut self) -> &mut ClientConn {
        &mut self.conn
    }

    /// Back to the pool, the last exchange being whole.
    pub(crate) fn give_back(self) {
        if self.conn.is_reusable() {
            let mut all = self.pool.idle.lock().unwrap_or_else(PoisonError::into_inner);
            all.push((self.conn, Instant::now()));
        }
    }
}
