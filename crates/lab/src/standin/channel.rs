//! The command channel of each front of the platform: where it listens, and what is wrong with it.

use super::discovery::Discovery;
use super::platform::front_host;
use crate::exchange::Seen;
use cloverhollow_http::{Limits, RequestFrame};
use cloverhollow_net::{wait_closed, ServerCodec, ServerConn};
use futures_util::StreamExt;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::codec::Framed;

/// An address that a new configuration has replaced closes its open streams after so long.
const REPLACED: Duration = Duration::from_millis(1_500);

/// What is wrong with discovery for now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Disturbed {
    /// Open streams say nothing, and calls are not answered.
    pub(super) silent: bool,
    /// Answers begin so much later.
    pub(super) late: Duration,
}

/// Where one front's channel listens.
struct Channel {
    port: u16,
    replaced: watch::Sender<bool>,
}

/// All fronts' channels.
pub(super) struct Channels {
    by_front: Mutex<BTreeMap<usize, Channel>>,
    /// Version of the list up to which each front was told of all, by whichever stream.
    told: Mutex<BTreeMap<usize, u64>>,
    disturbed: watch::Sender<Disturbed>,
}

impl Default for Channels {
    fn default() -> Self {
        Channels {
            by_front: Mutex::default(),
            told: Mutex::default(),
            disturbed: watch::channel(Disturbed::default()).0,
        }
    }
}

impl Channels {
    /// Records that a front is told of the whole list.
    pub(super) fn told_whole(&self, front: usize, version: u64) {
        self.told.lock().unwrap_or_else(PoisonError::into_inner).insert(front, version);
    }

    /// Records that a front is told of a version. Returns false if it was told of it before and of all versions up to it,
    /// as by another stream: that is no news. After a gap, versions are told again from the gap on.
    pub(super) fn is_news(&self, front: usize, version: u64) -> bool {
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        let told = told.entry(front).or_default();
        if version == *told + 1 {
            *told = version;
            return true;
        }
        version > *told
    }
}

/// The way of one stream: whose it is, and whether its address has been replaced.
#[derive(Clone)]
pub(super) struct Stream {
    pub(super) front: usize,
    pub(super) host: Ipv4Addr,
    pub(super) replaced: watch::Receiver<bool>,
}

impl Stream {
    pub(super) fn is_replaced(&self) -> bool {
        *self.replaced.borrow()
    }
}

impl Discovery {
    /// Listens for the fronts of the platform too: each reaches it at an address of its own.
    ///
    /// # Errors
    /// It cannot listen.
    pub async fn listen_for(self: &Arc<Self>, fronts: usize, host: Ipv4Addr) -> std::io::Result<()> {
        for front in 0..fronts {
            self.move_channel(front, host).await?;
        }
        Ok(())
    }

    /// Listens for a front at a new port, which is given back. The one before takes no new connection, tells nothing more,
    /// and closes what is open a while later.
    ///
    /// # Errors
    /// It cannot listen.
    pub async fn move_channel(self: &Arc<Self>, front: usize, host: Ipv4Addr) -> std::io::Result<u16> {
        let own = front_host(host, front);
        let listener = TcpListener::bind((own, 0)).await?;
        let port = listener.local_addr()?.port();
        let (replaced, is_replaced) = watch::channel(false);
        let stream = Stream { front, host: own, replaced: is_replaced };
        tokio::spawn(self.clone().run_channel(listener, stream));
        self.put(Seen::DiscoveryOn { front: Some(front) });
        let mut all = self.channels.by_front.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(before) = all.insert(front, Channel { port, replaced }) {
            before.replaced.send_replace(true);
        }
        Ok(port)
    }

    /// Where a front's channel listens now.
    pub(crate) fn channel_port(&self, front: usize) -> u16 {
        let all = self.channels.by_front.lock().unwrap_or_else(PoisonError::into_inner);
        all.get(&front).map_or(0, |channel| channel.port)
    }

    /// Makes it silent or late, or neither.
    pub fn disturb(&self, silent: bool, late: Duration) {
        self.note(!silent && late.is_zero());
        self.channels.disturbed.send_replace(Disturbed { silent, late });
    }

    pub(super) fn note(&self, in_order: bool) {
        self.put(if in_order {
            Seen::DiscoveryOn { front: None }
        } else {
            Seen::DiscoveryOff { front: None }
        });
    }

    pub(super) fn disturbed(&self) -> watch::Receiver<Disturbed> {
        self.channels.disturbed.subscribe()
    }

    async fn run_channel(self: Arc<Self>, listener: TcpListener, stream: Stream) {
        let mut listener = Some(listener);
        let (mut up, mut replaced) = (self.ups(), stream.replaced.clone());
        let mut conns = JoinSet::new();
        loop {
            if *replaced.borrow_and_update() {
                // Nobody takes connections there any more.
                drop(listener.take());
                sleep(REPLACED).await;
                return;
            }
            let Some(listening) = &listener else { return };
            let is_up = *up.borrow_and_update();
            if !is_up {
                conns.shutdown().await;
            }
            tokio::select! {
                accepted = listening.accept() => if let (Ok((socket, _)), true) = (accepted, is_up) {
                    conns.spawn(self.clone().answer_channel(socket, stream.clone()));
                },
                changed = up.changed() => if changed.is_err() { return },
                changed = replaced.changed() => if changed.is_err() { return },
                Some(_) = conns.join_next() => {}
            }
        }
    }

    async fn answer_channel(self: Arc<Self>, socket: TcpStream, stream: Stream) {
        let mut conn: ServerConn = Framed::new(socket, ServerCodec::new(Limits::default()));
        let Some(Ok(RequestFrame::Head(head))) = conn.next().await else { return };
        let mut disturbed = self.disturbed();
        let late = disturbed.borrow_and_update().late;
        let ready = async {
            sleep(late).await;
            disturbed.wait_for(|d| !d.silent).await.is_ok()
        };
        // One whose client has gone meanwhile is not answered.
        let ready = tokio::select! {
            () = wait_closed(&conn) => false,
            ready = ready => ready,
        };
        if ready {
            self.serve_channel(stream, conn, head).await;
        }
    }
}

#[cfg(test)]
mod tests;
