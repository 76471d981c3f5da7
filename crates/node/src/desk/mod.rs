//! The one task that owns the session core and with it the decision module.
//!
//! What has come in by one instant goes into one step. The desk never waits for a socket: it takes mails, steps,
//! and queues bytes for the tasks that own the sockets; a queue that is full costs its connection.

mod commands;
mod end;
mod lines;
mod news;
mod releases;
mod servers;
mod viewers;

pub(crate) use end::Stop;

use crate::channel::From;
use crate::gossip::GossipSocket;
use crate::links::{Ended, Heard, Links, Outgoing};
use crate::mail::Mail;
use crate::viewer::{Came, ViewerHold, Waits};
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
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Most mails of one step.
const BATCH: usize = 256;
/// Time between two looks at what is due with connections.
const LOOK: Duration = Duration::from_millis(50);
/// Sessions that play already are handed over for so long after the first test was passed.
const HANDED_OVER: Duration = Duration::from_secs(10);

pub(crate) type NodeCore = Core<SessionPolicy, SetupRequest, String>;
pub(crate) type In = Input<SetupRequest, String>;

/// What the desk may use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Connections of viewers.
    pub(crate) conns: usize,
    /// Set-ups open at a time, each with a connection of its own to a video server.
    pub(crate) open: usize,
    /// Set-ups open at a time on one connection.
    pub(crate) open_on_one: usize,
    /// What follows SIGTERM.
    pub(crate) stop: Stop,
}

/// What the desk is told by.
pub(crate) struct Post {
    /// For the tasks of connections to video servers.
    pub(crate) mail: mpsc::Sender<Mail>,
    /// Connections of viewers on which something has come.
    pub(crate) rung: mpsc::Receiver<ConnId>,
}

pub(crate) struct Desk {
    pub(crate) core: NodeCore,
    pub(crate) clock: Clock,
    pub(crate) site: Arc<SiteSettings>,
    pub(crate) directory: ServerDirectory,
    pub(crate) standing: SessionRegistry,
    links: Links,
    /// Releases of sessions that do not stand yet.
    early: EarlyReleases,
    /// Releases that viewers may not have read.
    unproven: UnacknowledgedReleases,
    pub(crate) bounds: Bounds,
    pub(crate) from: watch::Sender<From>,
    conns: HashMap<ConnId, ViewerHold>,
    /// Connections of viewers on which something has come.
    rung: mpsc::Receiver<ConnId>,
    next_viewer: u64,
    inputs: Vec<In>,
    terminating: Option<Duration>,
    closed_before_kill: bool,
    /// Until then sessions are handed over that an earlier life set up.
    handed_over: Duration,
    looked: Duration,
    /// Loads told between session managers, where the platform lets them.
    pub(crate) gossip: Option<GossipSocket>,
}

impl Desk {
    pub(crate) fn new(
        core: NodeCore,
        clock: Clock,
        site: Arc<SiteSettings>,
        watch: LinkMonitor,
        bounds: Bounds,
        from: watch::Sender<From>,
        post: Post,
    ) -> Self {
        let Post { mail, rung } = post;
        let links = Links::new(watch, clock, site.connect_timeout, mail);
        Desk {
            core,
            clock,
            site,
            directory: ServerDirectory::default(),
            standing: SessionRegistry::default(),
            links,
            early: EarlyReleases::default(),
            unproven: UnacknowledgedReleases::default(),
            bounds,
            from,
            conns: HashMap::new(),
            rung,
            next_viewer: 0,
            inputs: Vec::new(),
            terminating: None,
            closed_before_kill: false,
            handed_over: Duration::MAX,
            looked: Duration::ZERO,
            gossip: None,
        }
    }

    /// Runs until the process is to end and owes nothing more. What is queued for viewers then is still written by their
    /// connections' tasks.
    pub(crate) async fn run(mut self, mut mails: mpsc::Receiver<Mail>) {
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            let now = self.clock.now();
            let look = self.looked + LOOK;
            let due = self.core.next_deadline().map_or(look, |d| d.min(look));
            tokio::select! {
                n = mails.recv_many(&mut batch, BATCH) => if n == 0 { return },
                Some(conn) = self.rung.recv() => self.take_from(conn),
                () = tokio::time::sleep_until(self.clock.instant(due.max(now))) => {}
            }
            for mail in batch.drain(..) {
                self.take(mail);
            }
            self.turn().await;
            if self.stopping(|stop| stop.end)
                && self.standing.pending_setups() == 0
                && mails.is_empty()
                && self.rung.is_empty()
            {
                return self.end().await;
            }
        }
    }

    /// One step, and what is due with connections.
    async fn turn(&mut self) {
        let wrote = self.take_inputs();
        if wrote {
            // The tasks of the connections write the answers now: none waits for what is decided next.
            tokio::task::yield_now().await;
        }
        // What the list says is taken in by now: a server that it names has an address.
        let now = self.clock.now();
        if now >= self.looked + LOOK {
            self.looked = now;
            self.look();
        }
        self.decide();
    }

    /// Steps until what is answered at once (recalls) is used up.
    fn step(&mut self) {
        self.take_inputs();
        self.decide();
    }

    /// The first half of a step; whether answers of servers were queued for viewers.
    fn take_inputs(&mut self) -> bool {
        self.hear();
        let inputs = std::mem::take(&mut self.inputs);
        let commands = self.core.process_inputs(self.clock.now(), inputs);
        let stream = |c: &Command<SetupRequest, String>| {
            matches!(c, Command::Answer { answer: Answer::Stream { .. }, .. })
        };
        let wrote = commands.iter().any(stream);
        commands.into_iter().for_each(|command| self.carry_out(command));
        wrote
    }

    /// The second half, and whole steps while there is something to take in.
    fn decide(&mut self) {
        loop {
            let commands = self.core.decide();
            if !invariants_hold("session core", || self.core.check()) {
                std::process::exit(INVARIANT_EXIT_CODE);
            }
            commands.into_iter().for_each(|command| self.carry_out(command));
            if self.inputs.is_empty() {
                return;
            }
            self.take_inputs();
        }
    }

    fn take(&mut self, mail: Mail) {
        match mail {
            Mail::Opened(conn, hold) => self.opened(conn, hold),
            Mail::Up(link) => self.links.up(link),
            Mail::Unsent(link, attempt) => {
                // Who has left first, else the core would try again.
                self.left(link, attempt);
                let ended = self.links.unsent(link, attempt);
                self.ended(ended, Load::default());
            }
            Mail::Line(link, line) => self.line(link, line),
            Mail::Down(link, down, owed) => self.down(link, down, owed),
            Mail::Told(stream, told) => self.told(stream, told),
            Mail::Gossip(bytes) => self.gossiped(&bytes),
            Mail::Config(config) => self.configured(&config),
            Mail::Terminate => self.terminating = self.terminating.or(Some(self.clock.now())),
        }
    }
}

fn over(sid: SessionId, why: EndReason, load: Load) -> In {
    Input::SessionEnded { sid, reason: why, load }
}

#[cfg(test)]
mod tests;
