//! Load gossip between session managers over one UDP socket. A task reads the socket; the event loop writes
//! to it.
//!
//! Sending never blocks: a datagram that the system can't accept at once is lost. While the event loop's
//! queue is full, received datagrams stay in the socket's buffer, which drops what exceeds it.

use crate::messages::LoopEvent;
use bytes::Bytes;
use cloverhollow::{ServerId, SessionReport};
use cloverhollow_platform::gossip::{Gossip, GossipConfig, MAX_DATAGRAM_BYTES};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Delay before reading again after a socket error.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Separates the random choice of gossip targets from the session core, which uses the same seed.
const SEED_MASK: u64 = 0x9e37_79b9_7f4a_7c15;

/// Gossip protocol state and the socket that carries it.
#[derive(Debug)]
pub(crate) struct GossipSocket {
    pub(crate) protocol: Gossip,
    socket: Arc<UdpSocket>,
    peers: Vec<SocketAddr>,
}

impl GossipSocket {
    /// Binds the socket and starts its reader. `None` if it can't be bound; the session manager then runs
    /// without gossip. `all_peers` includes the own address.
    pub(crate) async fn open(
        listen: SocketAddr,
        all_peers: &[SocketAddr],
        seed: u64,
        event_tx: mpsc::Sender<LoopEvent>,
    ) -> Option<GossipSocket> {
        let socket = match UdpSocket::bind(listen).await {
            Ok(socket) => Arc::new(socket),
            Err(error) => {
                tracing::warn!(%listen, %error, "cannot bind the gossip socket; running without gossip");
                return None;
            }
        };
        let peers: Vec<_> = all_peers.iter().copied().filter(|p| *p != listen).collect();
        tokio::spawn(receive(socket.clone(), event_tx));
        let protocol = Gossip::new(GossipConfig::default(), peers.len(), seed ^ SEED_MASK);
        Some(GossipSocket { protocol, socket, peers })
    }

    /// Records a load reported by a video server, measured at `measured_at`.
    pub(crate) fn record_load(&mut self, measured_at: Duration, server: ServerId, report: SessionReport) {
        match report {
            SessionReport::LinkLoad(load) => {
                self.protocol.record_reading(measured_at, server, Some(load), None)
            }
            SessionReport::UplinkLoad(load) => {
                self.protocol.record_reading(measured_at, server, None, Some(load))
            }
            SessionReport::DeliveredShare(_) | SessionReport::Rung(_) => {}
        }
    }

    /// Sends one datagram if one is due.
    pub(crate) fn send_due(&mut self, now: Duration) {
        let Some((peer, bytes)) = self.protocol.poll(now) else { return };
        if let Some(peer) = self.peers.get(peer) {
            let _ = self.socket.try_send_to(&bytes, *peer);
        }
    }
}

/// Forwards datagrams to the event loop until the loop ends. Aborting the task loses only unread datagrams.
async fn receive(socket: Arc<UdpSocket>, event_tx: mpsc::Sender<LoopEvent>) {
    // One byte longer than the maximum, so that an oversized datagram is recognized.
    let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((n, _)) => {
                if event_tx.send(LoopEvent::GossipReceived(Bytes::copy_from_slice(&buf[..n]))).await.is_err()
                {
                    return;
                }
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}
