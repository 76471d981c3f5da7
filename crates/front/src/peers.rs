//! The exchange of knowledge with peers: a warm start, then now and then what changed.
//!
//! Whom to ask and when is [`WarmStart`]'s; here questions go over HTTP to peers' side addresses, and answers by
//! mail to the desk. A question has `peers.deadline_ms` at most; one that is cut off goes on where it was cut
//! (RFC 9110, section 14, by range and entity tag). Dropping the task drops its questions.

use crate::desk::Mail;
use crate::side::State;
use crate::Shared;
use bytes::Bytes;
use cloverhollow_http::{RequestHead, ResponseHead, Target};
use cloverhollow_knowledge::wire::{Message, FORMAT, MAX_MESSAGE_BYTES};
use cloverhollow_knowledge::{KnowledgeLevel, MergeError, PeerRequest, WarmStart, WarmStartConfig};
use cloverhollow_net::{connect, WireError};
use cloverhollow_session::{Input, PeerStatus};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};

/// Path of the exchange at the side address; see docs/openapi/knowledge.yaml.
pub(crate) const PATH: &str = "/v1/knowledge";
/// Names of what a question says.
pub(crate) const NONCE: &str = "nonce";
pub(crate) const AFTER: &str = "after";
pub(crate) const FORMAT_ARG: &str = "format";
pub(crate) const FROM: &str = "from";
/// The hold-off in milliseconds, beside `Retry-After` in whole seconds.
pub(crate) const HOLD_OFF: &str = "cloverhollow-retry-after-ms";
/// Times that a cut answer is gone on with.
const RESUMES: usize = 3;
/// Most outcomes of merges that wait to be read.
pub(crate) const MOST_OUTCOMES: usize = 256;

/// The desk's word on a merge.
pub(crate) type Outcome = (SocketAddr, Result<PeerStatus, MergeError>);

/// How a question ended.
enum Got {
    Message { asked_at: Duration, nonce: u64, message: Box<Message> },
    Busy(Duration),
    Failed,
}

struct Peers {
    shared: Arc<Shared>,
    state: Arc<State>,
    me: Option<SocketAddr>,
    warmer: WarmStart,
    /// Last change heard of each peer: what its next delta is asked after.
    heard: BTreeMap<SocketAddr, u64>,
    questions: JoinSet<(SocketAddr, Got)>,
}

/// Runs for as long as the front does. `me`: the own side address.
pub(crate) async fn run(
    shared: Arc<Shared>,
    state: Arc<State>,
    me: Option<SocketAddr>,
    mut outcomes: mpsc::Receiver<Outcome>,
) {
    let p = &shared.settings.peers;
    let set = WarmStartConfig {
        max_parallel: p.parallel.as_usize(),
        required_warm_answers: p.sufficient_answers.as_usize(),
        hedge_delay: p.hedge_delay_ms.get(),
        deadline: p.warm_start_timeout_ms.get(),
        max_jitter: p.max_jitter_ms.get(),
        horizon: p.max_age_ms.get(),
    };
    let warmer = WarmStart::new(shared.clock.now(), set, fastrand::u64(..), me, &p.addresses);
    let every = Some(p.poll_interval_ms.get()).filter(|e| !e.is_zero());
    let mut peers = Peers {
        state,
        me,
        warmer,
        heard: BTreeMap::new(),
        questions: JoinSet::new(),
        shared: shared.clone(),
    };
    let mut next_delta = shared.clock.now() + every.unwrap_or_default();
    loop {
        peers.tell_level();
        let now = shared.clock.now();
        for ask in peers.warmer.poll(now) {
            peers.ask(ask, None);
        }
        if every.is_some_and(|_| now >= next_delta) {
            next_delta = now + every.unwrap_or_default();
            peers.delta();
        }
        let due = peers.warmer.next_poll().into_iter().chain(every.map(|_| next_delta)).min();
        let due = due.unwrap_or(now + Duration::from_secs(3600));
        tokio::select! {
            () = sleep_until(shared.clock.instant(due)) => {}
            Some(Ok((peer, got))) = peers.questions.join_next() => peers.got(peer, got).await,
            Some((peer, outcome)) = outcomes.recv() => peers.merged(peer, outcome),
        }
    }
}

impl Peers {
    fn tell_level(&self) {
        let (level, why) = self.warmer.level();
        if self.state.set_level(level, why) {
            tracing::info!(level = level.as_str(), why = why.as_str(), "how warm this front is");
        }
        self.state.set_peers(self.warmer.peers().collect());
    }

    fn ask(&mut self, ask: PeerRequest, after: Option<u64>) {
        self.shared.stats.peer_requests.fetch_add(1, Relaxed);
        let (shared, me) = (self.shared.clone(), self.me);
        self.questions.spawn(async move {
            let within = shared.settings.peers.warm_start_timeout_ms.get();
            let got = timeout(within, question(&shared, me, ask, after)).await;
            (ask.peer, got.unwrap_or(Got::Failed))
        });
    }

    /// What changed at one peer, drawn by chance, since it was last asked.
    fn delta(&mut self) {
        if self.warmer.level().0 == KnowledgeLevel::Warming || !self.questions.is_empty() {
            return;
        }
        let all: Vec<SocketAddr> = self.warmer.peers().collect();
        if let Some(peer) = fastrand::choice(all.iter()) {
            let after = self.heard.get(peer).copied();
            self.ask(PeerRequest { peer: *peer, nonce: fastrand::u64(1..) }, after);
        }
    }

    async fn got(&mut self, peer: SocketAddr, got: Got) {
        match got {
            Got::Message { asked_at, nonce, message } => {
                let told = Input::PeerMessage { peer, requested_at: asked_at, nonce, message };
                let _ = self.shared.desk.send(Mail::of(told)).await;
            }
            Got::Busy(after) => self.warmer.on_busy(self.shared.clock.now(), peer, after),
            Got::Failed => {
                // It may have started anew, with numbers of its own.
                self.heard.remove(&peer);
                self.warmer.on_failure(peer);
            }
        }
    }

    fn merged(&mut self, peer: SocketAddr, outcome: Result<PeerStatus, MergeError>) {
        match outcome {
            Ok(said) => {
                self.heard.insert(peer, said.seq);
                self.warmer.add_peers(&said.peers);
                self.warmer.on_answer(peer, said.level);
            }
            Err(_) => {
                self.heard.remove(&peer);
                self.warmer.on_failure(peer);
            }
        }
    }
}

/// Asks until the answer is whole, or it is no use.
async fn question(shared: &Shared, me: Option<SocketAddr>, ask: PeerRequest, after: Option<u64>) -> Got {
    let asked_at = shared.clock.now();
    let (mut bytes, mut tag) = (Vec::new(), None);
    for _ in 0..=RESUMES {
        match once(shared, me, ask, after, &mut bytes, &mut tag).await {
            Ok(None) => {
                shared.stats.peer_bytes.fetch_add(bytes.len() as u64, Relaxed);
                return match Message::decode(&bytes) {
                    Ok(message) => Got::Message { asked_at, nonce: ask.nonce, message: Box::new(message) },
                    Err(error) => {
                        tracing::warn!(peer = %ask.peer, %error, "a peer's word cannot be read");
                        Got::Failed
                    }
                };
            }
            Ok(Some(after)) => return Got::Busy(after),
            // Cut off: with a tag it goes on from there, else from the start.
            Err(_) if tag.is_some() => sleep(Duration::from_millis(10)).await,
            Err(_) => return Got::Failed,
        }
    }
    Got::Failed
}

/// One exchange. `Some`: the peer is busy for so long.
async fn once(
    shared: &Shared,
    me: Option<SocketAddr>,
    ask: PeerRequest,
    after: Option<u64>,
    bytes: &mut Vec<u8>,
    tag: &mut Option<String>,
) -> Result<Option<Duration>, WireError> {
    let bad = |what: &'static str| WireError::Io(std::io::Error::new(std::io::ErrorKind::InvalidData, what));
    let mut conn = connect(ask.peer).await?;
    let mut path = format!("{PATH}?{NONCE}={}&{FORMAT_ARG}={FORMAT}", ask.nonce);
    if let Some(after) = after {
        path += &format!("&{AFTER}={after}");
    }
    if let Some(me) = me {
        path += &format!("&{FROM}={me}");
    }
    let target = Target::parse(path.into()).ok_or_else(|| bad("no target"))?;
    let mut head = RequestHead::get(target);
    head.headers.push("host", ask.peer.to_string());
    head.headers.push("via", shared.via.clone());
    if let Some(tag) = tag.as_ref().filter(|_| !bytes.is_empty()) {
        head.headers.push("range", format!("bytes={}-", bytes.len()));
        head.headers.push("if-range", tag.clone());
    }
    conn.send_request(head, Bytes::new()).await?;
    let head = conn.read_head().await?;
    match head.status {
        206 => {}
        200 => bytes.clear(),
        503 => return Ok(Some(hold_off(&head))),
        _ => {
            *tag = None;
            return Err(bad("refused"));
        }
    }
    *tag = head.headers.get_str("etag").map(str::to_string);
    while let Some(data) = conn.read_body_chunk().await? {
        if bytes.len() + data.len() > MAX_MESSAGE_BYTES {
            *tag = None;
            return Err(bad("too long"));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(None)
}

fn hold_off(head: &ResponseHead) -> Duration {
    let number = |name: &str| head.headers.get_str(name).and_then(|t| t.parse::<u64>().ok());
    let ms = number(HOLD_OFF).or_else(|| number("retry-after").map(|s| s * 1000)).unwrap_or(1000);
    Duration::from_millis(ms.min(60_000))
}
