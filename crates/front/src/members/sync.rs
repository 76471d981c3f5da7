//! Exchange of full member lists with other members, over HTTP.

use super::{FleetMember, NONCE_ARG, PATH};
use bytes::Bytes;
use cloverhollow_http::{RequestHead, Target};
use cloverhollow_members::{MemberState, MAX_BODY_BYTES};
use cloverhollow_net::connect;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Time limit for one full exchange with a member.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

impl FleetMember {
    /// Returns the side address of a random live member, if one is known.
    pub(super) fn random_peer(&self) -> Option<SocketAddr> {
        let member = self.member();
        let own_address = member.local_id().address;
        let live = member
            .view()
            .members
            .values()
            .filter(|s| s.state == MemberState::Alive && s.id.address != own_address);
        fastrand::choice(live.filter_map(|s| s.id.side_address).collect::<Vec<_>>())
    }

    /// Fetches and merges the full member list of a peer.
    pub(super) async fn sync_with(&self, peer: SocketAddr) {
        let nonce = fastrand::u64(..);
        let merged = match timeout(SYNC_TIMEOUT, fetch_member_list(peer, nonce)).await {
            Ok(Some(body)) => {
                self.with_member(|m| m.sync(self.clock.now(), nonce, &body)).map_err(|e| e.to_string())
            }
            Ok(None) => Err("no usable response".into()),
            Err(_) => Err("no response in time".into()),
        };
        match merged {
            Ok(()) => self.set_list_received(),
            Err(error) => tracing::info!(%peer, error, "member list not merged"),
        }
    }
}

async fn fetch_member_list(peer: SocketAddr, nonce: u64) -> Option<Vec<u8>> {
    let mut conn = connect(peer).await.ok()?;
    let target = Target::parse(format!("{PATH}?{NONCE_ARG}={nonce}").into())?;
    let mut head = RequestHead::get(target);
    head.headers.push("host", peer.to_string());
    let (head, body) = conn.exchange(head, Bytes::new(), MAX_BODY_BYTES).await.ok()?;
    (head.status == 200).then_some(body)
}
