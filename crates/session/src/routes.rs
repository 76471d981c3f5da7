//! Routes of playing sessions. Connections read them without blocking; only the core writes them.

use crate::report_throttle::ReportThrottle;
use crate::types::SessionId;
use cloverhollow::{RequestId, ServerId};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

/// Route of one playing session to its server.
#[derive(Debug)]
pub struct Route {
    /// Session, as numbered for the policy.
    pub request: RequestId,
    /// Session, as named by its player.
    pub sid: SessionId,
    /// Class of the session: an index into the settings' classes.
    pub class: usize,
    /// Server where the session plays.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Throttle for the server's load reports, shared by all routes to the server.
    pub report_throttle: Arc<ReportThrottle>,
    /// Bit rates of the class by rung, kbps.
    pub rates_kbps: Arc<[u32]>,
    /// Rung in force.
    pub(crate) rung: AtomicU32,
    /// Time of the player's last activity, ms.
    pub(crate) last_activity_ms: AtomicU64,
    /// Number of objects that the player is waiting for or receiving.
    pub(crate) active_fetches: AtomicU32,
}

/// Guard for an object in transfer to a route's player. The transfer ends when the guard is dropped.
#[derive(Debug)]
pub struct FetchGuard<'a>(&'a Route);

impl Drop for FetchGuard<'_> {
    fn drop(&mut self) {
        self.0.active_fetches.fetch_sub(1, Relaxed);
    }
}

impl Route {
    /// Marks an object as in transfer: the session is not idle until the guard is dropped.
    ///
    /// Without this, a session would end as idle, and its place be given away, while its player waits for a silent
    /// server or receives a long object. The fetch has time-outs of its own that bound the transfer.
    pub fn begin_fetch(&self) -> FetchGuard<'_> {
        self.active_fetches.fetch_add(1, Relaxed);
        FetchGuard(self)
    }

    pub(crate) fn is_fetching(&self) -> bool {
        self.active_fetches.load(Relaxed) > 0
    }

    /// Rung in force: an index into the bit-rate ladder, lowest first.
    pub fn rung(&self) -> usize {
        self.rung.load(Relaxed) as usize
    }

    /// Bit rate of the rung in force, kbps.
    pub fn kbps(&self) -> u32 {
        self.rates_kbps.get(self.rung()).copied().unwrap_or(0)
    }

    pub(crate) fn set_rung(&self, rung: usize) {
        self.rung.store(rung as u32, Relaxed);
    }

    /// Records activity of the player, which restarts the session's idle timeout.
    pub fn record_activity(&self, now: Duration) {
        self.last_activity_ms.fetch_max(now.as_millis() as u64, Relaxed);
    }

    /// Time of the player's last recorded activity.
    pub fn last_activity(&self) -> Duration {
        Duration::from_millis(self.last_activity_ms.load(Relaxed))
    }
}

/// Routes of all playing sessions by name. Their number is bounded by the maximum number of sessions.
#[derive(Debug, Default)]
pub struct Routes {
    by_sid: papaya::HashMap<SessionId, Arc<Route>>,
}

impl Routes {
    /// Route of a session, if the session plays.
    pub fn get(&self, sid: &str) -> Option<Arc<Route>> {
        self.by_sid.pin().get(sid).cloned()
    }

    pub(crate) fn insert(&self, route: Arc<Route>) {
        self.by_sid.pin().insert(route.sid.clone(), route);
    }

    pub(crate) fn remove(&self, sid: &str) {
        self.by_sid.pin().remove(sid);
    }

    /// Number of playing sessions.
    pub fn len(&self) -> usize {
        self.by_sid.len()
    }

    /// Returns whether no session plays.
    pub fn is_empty(&self) -> bool {
        self.by_sid.is_empty()
    }
}
