//! Datagrams between session managers: one socket, read by a task of its own, written to by the desk.
//!
//! The desk never waits: what the system can't take at once is lost, as any datagram may be. A reader whose mail waits for the desk
//! leaves what comes to the socket's own queue, which drops what is too much.

use crate::mail::Mail;
use bytes::Bytes;
use cloverhollow::{ServerId, SessionReport};
use cloverhollow_platform::gossip::{Gossip, GossipConfig, MAX_DATAGRAM_BYTES};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Wait after an error of the socket.
const AGAIN: Duration = Duration::from_millis(50);
/// Whom to tell is drawn from another row of numbers than the decisions'.
const ROW: u64 = 0x9e37_79b9_7f4a_7c15;

/// What one session manager tells the others, and how.
#[derive(Debug)]
pub(crate) struct GossipSocket {
    pub(crate) gossip: Gossip,
    socket: Arc<UdpSocket>,
    others: Vec<SocketAddr>,
}

impl GossipSocket {
    /// Opens the socket; without it the session manager goes on alone. `peers`: all, the own address among them.
    pub(crate) async fn open(
        listen: SocketAddr,
        peers: &[SocketAddr],
        seed: u64,
        mail: mpsc::Sender<Mail>,
    ) -> Option<GossipSocket> {
        let socket = match UdpSocket::bind(listen).await {
            Ok(socket) => Arc::new(socket),
            Err(error) => {
                tracing::warn!(%listen, %error, "no datagrams of other session managers");
                return None;
            }
        };
        let others: Vec<_> = peers.iter().copied().filter(|p| *p != listen).collect();
        tokio::spawn(read(socket.clone(), mail));
        let gossip = Gossip::new(GossipConfig::default(), others.len(), seed ^ ROW);
        Some(GossipSocket { gossip, socket, others })
    }

    /// A video server told its load, as it was `at` that time.
    pub(crate) fn read(&mut self, at: Duration, server: ServerId, note: SessionReport) {
        match note {
            SessionReport::LinkLoad(link) => self.gossip.record_reading(at, server, Some(link), None),
            SessionReport::UplinkLoad(rack) => self.gossip.record_reading(at, server, None, Some(rack)),
            SessionReport::DeliveredShare(_) | SessionReport::Rung(_) => {}
        }
    }

    /// Tells another what is due.
    pub(crate) fn tell(&mut self, now: Duration) {
        let Some((to, bytes)) = self.gossip.poll(now) else { return };
        if let Some(to) = self.others.get(to) {
            let _ = self.socket.try_send_to(&bytes, *to);
        }
    }
}

/// Ends with the desk. Dropping it loses nothing but what has not been read.
async fn read(socket: Arc<UdpSocket>, mail: mpsc::Sender<Mail>) {
    // One byte more than any may have: a longer one is seen to be too long.
    let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((n, _)) => {
                if mail.send(Mail::Gossip(Bytes::copy_from_slice(&buf[..n]))).await.is_err() {
                    return;
                }
            }
            Err(_) => tokio::time::sleep(AGAIN).await,
        }
    }
}
