//! Where playing sessions go: read by every connection without blocking, written by the core alone.

use crate::gauge::Gauge;
use crate::types::Sid;
use cloverhollow::{RequestId, ServerId};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;

/// One playing session's way to its server.
#[derive(Debug)]
pub struct Route {
    /// The session, as the decision module names it.
    pub request: RequestId,
    /// The session, as its player names it.
    pub sid: Sid,
    /// Its class, by its index in the settings.
    pub class: usize,
    /// Its server.
    pub server: ServerId,
    /// Where that is.
    pub address: SocketAddr,
    /// The server's readings.
    pub gauge: Arc<Gauge>,
    /// The class's rates, kbps, by rung.
    pub rates: Arc<[u32]>,
    pub(crate) rung: AtomicU32,
    pub(crate) seen_ms: AtomicU64,
    /// Objects that its player waits for or takes.
    pub(crate) fetching: AtomicU32,
}

/// An object is under way to a route's player, until this is dropped.
#[derive(Debug)]
pub struct Fetching<'a>(&'a Route);

impl Drop for Fetching<'_> {
    fn drop(&mut self) {
        self.0.fetching.fetch_sub(1, Relaxed);
    }
}

impl Route {
    /// Its player waits for an object from now on: the session is not idle, however long that takes. Guards against
    /// one that is let go, and whose seat is given away, while its player waits for a silent server or takes a long
    /// object. The fetch's own time-outs bound it.
    pub fn fetch(&self) -> Fetching<'_> {
        self.fetching.fetch_add(1, Relaxed);
        Fetching(self)
    }

    pub(crate) fn is_fetching(&self) -> bool {
        self.fetching.load(Relaxed) > 0
    }

    /// The rung in force.
    pub fn rung(&self) -> usize {
        self.rung.load(Relaxed) as usize
    }

    /// Its rate, kbps.
    pub fn kbps(&self) -> u32 {
        self.rates.get(self.rung()).copied().unwrap_or(0)
    }

    pub(crate) fn set_rung(&self, rung: usize) {
        self.rung.store(rung as u32, Relaxed);
    }

    /// Its player was heard of.
    pub fn touch(&self, now: Duration) {
        self.seen_ms.fetch_max(now.as_millis() as u64, Relaxed);
    }

    /// When its player was last heard of.
    pub fn seen(&self) -> Duration {
        Duration::from_millis(self.seen_ms.load(Relaxed))
    }
}

/// All routes. As many as there are playing sessions, which the settings bound.
#[derive(Debug, Default)]
pub struct Routes {
    map: papaya::HashMap<Sid, Arc<Route>>,
}

impl Routes {
    /// The route of a session that plays.
    pub fn get(&self, sid: &str) -> Option<Arc<Route>> {
        self.map.pin().get(sid).cloned()
    }

    pub(crate) fn insert(&self, route: Arc<Route>) {
        self.map.pin().insert(route.sid.clone(), route);
    }

    pub(crate) fn remove(&self, sid: &str) {
        self.map.pin().remove(sid);
    }

    /// How many sessions play.
    pub fn len(&self) -> usize {
        self.map.len()
    }

    /// Whether none plays.
    pub fn is_empty(&self) -> bool {
        self.map.is_empty()
    }
}
