//! The event loop: the one task that owns the session core and its policy.
//!
//! A step of the core handles all events received since the previous one, up to a limit. The event loop never
//! waits for a socket: it handles events, steps the core, and queues bytes for the tasks that own the sockets.
//! A connection whose queue is full is closed.

mod commands;
mod lines;
mod receive;
mod releases;
mod servers;
mod shutdown;
mod steps;
mod updates;
mod viewers;

pub(crate) use shutdown::ShutdownSchedule;

use crate::channel::ChannelPosition;
use crate::gossip::GossipSocket;
use crate::links::{EndedSetup, LineSource, Links, LostSession, OutgoingSetup};
use crate::messages::LoopEvent;
use crate::viewer_conn::{Received, ReceivedBatch, SetupWaiter, ViewerHandle};
use bytes::Bytes;
use cloverhollow::{ServerId, SessionPolicy};
use cloverhollow_net::{unix_ms, Clock};
use cloverhollow_platform::channel::{ChannelUpdate, ServerDirectory};
use cloverhollow_platform::config::Config;
use cloverhollow_platform::early_releases::EarlyReleases;
use cloverhollow_platform::lines::{cause, Line, Verb};
use cloverhollow_platform::link_monitor::{LinkEndReason, LinkId, LinkMonitor};
use cloverhollow_platform::resend::UnacknowledgedReleases;
use cloverhollow_platform::rtsp::{Message, ReplyTarget, StartLine};
use cloverhollow_platform::server_reports;
use cloverhollow_platform::session_registry::{ConnId, Release, SessionRegistry, TeardownOutcome};
use cloverhollow_platform::settings::SiteSettings;
use cloverhollow_platform::viewer::{self, SetupRequest, ViewerRequest};
use cloverhollow_session::{
    invariants_hold, Answer, AttemptEnd, AttemptId, CancelReason, Command, Core, EndReason, Input,
    ListUpdate, Load, SessionId, Setup, ViewerId, WireState, INVARIANT_EXIT_CODE,
};
use receive::MAX_MESSAGES_PER_STEP;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Maximum number of events handled in one step.
const MAX_EVENTS_PER_STEP: usize = 256;
/// Interval between two maintenance runs of the connections to video servers.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the first ping (OPTIONS) of any viewer during which viewers hand over playing sessions.
const HANDOVER_PERIOD: Duration = Duration::from_secs(10);

pub(crate) type NodeCore = Core<SessionPolicy, SetupRequest, String>;
pub(crate) type CoreInput = Input<SetupRequest, String>;

/// Resource limits of the event loop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Maximum number of viewers' connections.
    pub(crate) max_conns: usize,
    /// Maximum number of open set-ups; each uses a connection of its own to a video server.
    pub(crate) max_open_setups: usize,
    /// Maximum number of open set-ups of one viewer's connection.
    pub(crate) max_open_setups_per_conn: usize,
    pub(crate) shutdown: ShutdownSchedule,
}

/// The event loop's ends of the queues to and from other tasks.
pub(crate) struct Queues {
    /// Sender of the event loop's own queue, cloned for the tasks of connections to video servers.
    pub(crate) event_tx: mpsc::Sender<LoopEvent>,
    /// Viewers' connections that have received something.
    pub(crate) ready_rx: mpsc::Receiver<ConnId>,
}

/// State owned by the event loop.
pub(crate) struct EventLoop {
    pub(crate) core: NodeCore,
    pub(crate) clock: Clock,
    /// Settings of this instance, from the configuration file.
    pub(crate) site: Arc<SiteSettings>,
    /// Video servers that the command channel lists, with their ids.
    pub(crate) directory: ServerDirectory,
    /// Pending set-ups, established sessions and viewers' connections.
    pub(crate) registry: SessionRegistry,
    links: Links,
    /// Releases received before their sessions were established here.
    early_releases: EarlyReleases,
    /// Releases that viewers may not have read.
    unacknowledged: UnacknowledgedReleases,
    pub(crate) limits: Limits,
    pub(crate) channel_position: watch::Sender<ChannelPosition>,
    viewer_conns: HashMap<ConnId, ViewerHandle>,
    /// Viewers' connections that have received something.
    ready_rx: mpsc::Receiver<ConnId>,
    /// Number of messages from viewers that may be handled before the next step.
    message_budget: usize,
    last_viewer_id: u64,
    /// Inputs for the next step of the core.
    inputs: Vec<CoreInput>,
    /// Time of the request to terminate.
    terminating_since: Option<Duration>,
    /// Idle connections have been closed because the process may be killed soon.
    closed_before_kill: bool,
    /// Time until which viewers may hand over sessions that a previous incarnation set up; `Duration::MAX`
    /// until the first ping.
    handover_until: Duration,
    last_maintenance: Duration,
    /// Load gossip with other session managers; `None` if the platform does not provide for it.
    pub(crate) gossip: Option<GossipSocket>,
}

impl EventLoop {
    pub(crate) fn new(
        core: NodeCore,
        clock: Clock,
        site: Arc<SiteSettings>,
        link_monitor: LinkMonitor,
        limits: Limits,
        channel_position: watch::Sender<ChannelPosition>,
        queues: Queues,
    ) -> Self {
        let Queues { event_tx, ready_rx } = queues;
        let links = Links::new(link_monitor, clock, site.connect_timeout, event_tx);
        EventLoop {
            core,
            clock,
            site,
            directory: ServerDirectory::default(),
            registry: SessionRegistry::default(),
            links,
            early_releases: EarlyReleases::default(),
            unacknowledged: UnacknowledgedReleases::default(),
            limits,
            channel_position,
            viewer_conns: HashMap::new(),
            ready_rx,
            message_budget: MAX_MESSAGES_PER_STEP,
            last_viewer_id: 0,
            inputs: Vec::new(),
            terminating_since: None,
            closed_before_kill: false,
            handover_until: Duration::MAX,
            last_maintenance: Duration::ZERO,
            gossip: None,
        }
    }

    fn handle_event(&mut self, event: LoopEvent) {
        match event {
            LoopEvent::ViewerConnected(conn, handle) => self.viewer_connected(conn, handle),
            LoopEvent::LinkUp(link) => self.links.link_up(link),
            LoopEvent::SetupNotSent(link, attempt) => {
                // A viewer that has left is removed first; otherwise the core would retry the set-up.
                self.abandon_if_viewer_left(link, attempt);
                let ended = self.links.setup_not_sent(link, attempt);
                self.attempt_ended(ended, Load::default());
            }
            LoopEvent::LineReceived(link, line) => self.line_received(link, line),
            LoopEvent::LinkDown(link, reason, unread) => self.link_down(link, reason, unread),
            LoopEvent::ChannelUpdate(stream, update) => self.apply_channel_update(stream, update),
            LoopEvent::GossipReceived(bytes) => self.gossip_received(&bytes),
            LoopEvent::ConfigReloaded(config) => self.config_reloaded(&config),
            LoopEvent::Terminate => {
                self.terminating_since = self.terminating_since.or(Some(self.clock.now()))
            }
        }
    }
}

fn session_ended_input(sid: SessionId, reason: EndReason, load: Load) -> CoreInput {
    Input::SessionEnded { sid, reason, load }
}

#[cfg(test)]
mod tests;
