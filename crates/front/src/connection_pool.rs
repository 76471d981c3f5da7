//! Connection pools: connections to servers are retained for reuse, with a limit for each server.

use cloverhollow::ServerId;
use cloverhollow_net::{connect, ClientConn};
use cloverhollow_settings::Servers;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Reason why there is no connection. No byte was sent in either case.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AcquireError {
    #[error("all connections to the server are in use")]
    PoolExhausted,
    #[error("connection failed: {0}")]
    ConnectFailed(std::io::Error),
}

/// Pools of all servers that the server list has named.
#[derive(Debug)]
pub(crate) struct ConnectionPools {
    pools: papaya::HashMap<ServerId, Arc<Pool>>,
    max_connections: usize,
    connect_timeout: Duration,
    idle_timeout: Duration,
}

#[derive(Debug)]
struct Pool {
    address: SocketAddr,
    idle_connections: Mutex<Vec<(ClientConn, Instant)>>,
    slots: Arc<Semaphore>,
}

/// Connection in use. [`PooledConnection::return_to_pool`] makes it available again; dropping it closes it.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    client: ClientConn,
    pool: Arc<Pool>,
    /// True if the connection has carried an exchange before.
    pub(crate) reused: bool,
    _slot: OwnedSemaphorePermit,
}

impl ConnectionPools {
    pub(crate) fn new(settings: &Servers) -> Self {
        ConnectionPools {
            pools: papaya::HashMap::new(),
            max_connections: settings.max_connections.as_usize(),
            connect_timeout: settings.connect_timeout_ms.get(),
            idle_timeout: settings.idle_timeout_ms.get(),
        }
    }

    fn pool(&self, server: ServerId, address: SocketAddr) -> Arc<Pool> {
        let new_pool = || {
            let slots = Arc::new(Semaphore::new(self.max_connections));
            Arc::new(Pool { address, idle_connections: Mutex::default(), slots })
        };
        let map = self.pools.pin();
        let pool = map.get_or_insert_with(server, new_pool);
        if pool.address == address {
            return pool.clone();
        }
        // The server's address has changed. Connections to the old address close once they are no longer in
        // use.
        let replacement = new_pool();
        map.insert(server, replacement.clone());
        replacement
    }

    /// Returns a connection within `servers.connect_ms` in total. `require_new`: never reuse a connection.
    ///
    /// Dropping the future closes a connection that is being opened.
    pub(crate) async fn acquire(
        &self,
        server: ServerId,
        address: SocketAddr,
        require_new: bool,
    ) -> Result<PooledConnection, AcquireError> {
        let pool = self.pool(server, address);
        let started_at = Instant::now();
        let slot = timeout(self.connect_timeout, pool.slots.clone().acquire_owned()).await;
        let Ok(Ok(slot)) = slot else { return Err(AcquireError::PoolExhausted) };
        if !require_new {
            while let Some(conn) = pool.take_idle(self.idle_timeout) {
                if conn.is_open_and_idle() {
                    return Ok(PooledConnection { client: conn, pool, reused: true, _slot: slot });
                }
            }
        }
        let remaining = self.connect_timeout.saturating_sub(started_at.elapsed());
        let timeout_error = || std::io::Error::from(std::io::ErrorKind::TimedOut);
        let conn = timeout(remaining, connect(address)).await.unwrap_or_else(|_| Err(timeout_error()));
        match conn {
            Ok(conn) => Ok(PooledConnection { client: conn, pool, reused: false, _slot: slot }),
            Err(e) => Err(AcquireError::ConnectFailed(e)),
        }
    }
}

impl Pool {
    /// Takes the most recently used idle connection, and closes those that have been idle for `idle_timeout`.
    fn take_idle(&self, idle_timeout: Duration) -> Option<ClientConn> {
        let mut idle_connections = self.idle_connections.lock().unwrap_or_else(PoisonError::into_inner);
        let expired =
            idle_connections.iter().take_while(|(_, since)| since.elapsed() >= idle_timeout).count();
        idle_connections.drain(..expired);
        idle_connections.pop().map(|(conn, _)| conn)
    }
}

impl PooledConnection {
    pub(crate) fn client(&mut self) -> &mut ClientConn {
        &mut self.client
    }

    /// Returns the connection to its pool if its last exchange is complete.
    pub(crate) fn return_to_pool(self) {
        if self.client.is_reusable() {
            let mut idle_connections =
                self.pool.idle_connections.lock().unwrap_or_else(PoisonError::into_inner);
            idle_connections.push((self.client, Instant::now()));
        }
    }
}
