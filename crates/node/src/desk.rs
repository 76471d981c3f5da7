//! The one task that owns the session core and with it the decision module.
//!
//! What has come in by one instant goes into one step. The desk never waits for a socket: it takes mails, steps,
//! and queues bytes for the tasks that own the sockets; a queue that is full costs its connection.

use crate::channel::From;
use crate::links::{Ended, Heard, Links, Outgoing};
use crate::mail::{Hold, Mail};
use bytes::Bytes;
use cloverhollow::{Brain, ServerId};
use cloverhollow_net::{unix_ms, Clock};
use cloverhollow_platform::channel::{Directory, Told};
use cloverhollow_platform::config::Config;
use cloverhollow_platform::lines::{cause, Line, Verb};
use cloverhollow_platform::rtsp::{Addressee, Message};
use cloverhollow_platform::settings::Site;
use cloverhollow_platform::standing::{ConnId, Left, Release, Standing};
use cloverhollow_platform::told;
use cloverhollow_platform::viewer::{self, Ask, Wish};
use cloverhollow_platform::watch::{Down, LinkId, Watch};
use cloverhollow_session::{
    enforce, Answer, AttemptEnd, AttemptId, Command, Core, Input, ListNews, Load, OverWhy, RecallWhy, Setup,
    Sid, ViewerId, WireState, BROKEN_EXIT,
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

pub(crate) type NodeCore = Core<Brain, Ask, String>;
type In = Input<Ask, String>;

/// What the desk may use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Connections of viewers.
    pub(crate) conns: usize,
    /// Set-ups open at a time, each with a connection of its own to a video server.
    pub(crate) open: usize,
    /// Set-ups open at a time on one connection.
    pub(crate) open_on_one: usize,
}

pub(crate) struct Desk {
    pub(crate) core: NodeCore,
    pub(crate) clock: Clock,
    pub(crate) site: Arc<Site>,
    pub(crate) directory: Directory,
    pub(crate) standing: Standing,
    links: Links,
    pub(crate) bounds: Bounds,
    pub(crate) from: watch::Sender<From>,
    conns: HashMap<ConnId, Hold>,
    next_viewer: u64,
    inputs: Vec<In>,
    terminating: Option<Duration>,
    /// Until then sessions are handed over that an earlier life set up.
    handed_over: Duration,
    looked: Duration,
}

impl Desk {
    pub(crate) fn new(
        core: NodeCore,
        clock: Clock,
        site: Arc<Site>,
        watch: Watch,
        bounds: Bounds,
        from: watch::Sender<From>,
        mail: mpsc::Sender<Mail>,
    ) -> Self {
        let links = Links::new(watch, clock, site.connect_timeout, mail);
        Desk {
            core,
            clock,
            site,
            directory: Directory::default(),
            standing: Standing::default(),
            links,
            bounds,
            from,
            conns: HashMap::new(),
            next_viewer: 0,
            inputs: Vec::new(),
            terminating: None,
            handed_over: Duration::MAX,
            looked: Duration::ZERO,
        }
    }

    /// Runs until the process is to end and owes nothing more, `grace` after it was told.
    pub(crate) async fn run(mut self, mut mails: mpsc::Receiver<Mail>, grace: Duration) {
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            let now = self.clock.now();
            let look = self.looked + LOOK;
            let due = self.core.next_due().map_or(look, |d| d.min(look));
            tokio::select! {
                n = mails.recv_many(&mut batch, BATCH) => if n == 0 { return },
                () = tokio::time::sleep_until(self.clock.instant(due.max(now))) => {}
            }
            for mail in batch.drain(..) {
                self.take(mail);
            }
            let now = self.clock.now();
            if now >= self.looked + LOOK {
                self.looked = now;
                self.look();
            }
            self.step();
            if self.terminating.is_some_and(|t| now >= t + grace) && self.standing.open() == 0 {
                return;
            }
        }
    }

    /// Steps until what is answered at once (recalls) is used up.
    fn step(&mut self) {
        loop {
            let inputs = std::mem::take(&mut self.inputs);
            let commands = self.core.step(self.clock.now(), inputs);
            if !enforce("session core", || self.core.check()) {
                std::process::exit(BROKEN_EXIT);
            }
            for command in commands {
                self.carry_out(command);
            }
            if self.inputs.is_empty() {
                return;
            }
        }
    }

    fn take(&mut self, mail: Mail) {
        match mail {
            Mail::Opened(conn, hold) => self.opened(conn, hold),
            Mail::Viewer(conn, message) => self.message(conn, message),
            Mail::Unreadable(conn, status, to) => self.unreadable(conn, status, &to),
            Mail::Closed(conn) => self.closed(conn),
            Mail::Up(link) => self.links.up(link),
            Mail::Unsent(link) => {
                let ended = self.links.unsent(link);
                self.ended(ended, Load::default());
            }
            Mail::Line(link, line) => self.line(link, line),
            Mail::Down(link, down) => self.down(link, down),
            Mail::Told(told) => self.told(told),
            Mail::Config(config) => self.configured(&config),
            Mail::Terminate => self.terminating = self.terminating.or(Some(self.clock.now())),
        }
    }

    // ---- Viewers ----

    fn opened(&mut self, conn: ConnId, hold: Hold) {
        if self.conns.len() >= self.bounds.conns {
            match self.standing.spare(self.clock.now()) {
                Some(spare) => self.closed(spare),
                None => return, // each has a set-up open: dropping the hold turns the new one away
            }
        }
        self.conns.insert(conn, hold);
        self.standing.opened(conn, self.clock.now());
    }

    fn closed(&mut self, conn: ConnId) {
        self.conns.remove(&conn);
        for (viewer, sid) in self.standing.closed(conn) {
            self.inputs.push(Input::HungUp { viewer, sid });
        }
    }

    fn write(&mut self, conn: ConnId, bytes: Bytes) {
        if self.conns.get(&conn).is_some_and(|hold| !hold.write(bytes)) {
            tracing::info!(conn = conn.0, "a viewer reads too slowly");
            self.closed(conn);
        }
    }

    fn unreadable(&mut self, conn: ConnId, status: u16, to: &Addressee) {
        self.write(conn, viewer::error(status, to));
        self.close_conn(conn);
    }

    /// Closes a connection whose stream can't be trusted. What is open on it fails: nobody can tell any more whose
    /// it is.
    fn close_conn(&mut self, conn: ConnId) {
        for (viewer, sid) in self.standing.closing(conn) {
            self.write(conn, viewer::failure(&sid));
            self.inputs.push(Input::HungUp { viewer, sid });
        }
        if self.conns.get(&conn).is_some_and(|hold| !hold.close()) {
            self.closed(conn);
        }
    }

    fn release(&mut self, release: Release) {
        let Release { conn, sid, cause } = release;
        tracing::debug!(session = %sid, conn = conn.0, cause, "released");
        self.write(conn, viewer::release(&sid, cause));
    }

    fn message(&mut self, conn: ConnId, message: Message) {
        if !self.conns.contains_key(&conn) {
            return;
        }
        self.standing.spoke(conn);
        tracing::debug!(conn = conn.0, ?message, "asked");
        match viewer::read(message, &self.site) {
            Ok(Wish::Setup(setup)) => self.setup(conn, *setup),
            Ok(Wish::Teardown { sid, cseq }) => {
                self.write(conn, viewer::heard(&cseq, Some(&sid)));
                match self.standing.left(&sid) {
                    Left::Asked(viewer) => self.inputs.push(Input::HungUp { viewer, sid }),
                    Left::Stood => self.inputs.push(over(sid, OverWhy::Quit, Load::default())),
                    Left::Unknown => {}
                }
            }
            Ok(Wish::Test { cseq, sid }) => {
                // The first test passed begins the time in which sessions are handed over.
                if self.handed_over == Duration::MAX {
                    self.handed_over = self.clock.now() + HANDED_OVER;
                }
                self.write(conn, viewer::heard(&cseq, sid.as_deref()));
            }
            Ok(Wish::Nothing) => {}
            Err(unusable) => {
                tracing::debug!(conn = conn.0, error = %unusable, "a message that can't be used");
                self.unreadable(conn, 400, &unusable.to);
            }
        }
    }

    fn usual(&mut self, conn: ConnId) {
        for release in self.standing.usual(conn) {
            self.release(release);
        }
    }

    fn setup(&mut self, conn: ConnId, setup: viewer::Setup) {
        let viewer::Setup { sid, at, mut arrival } = setup;
        if let Some(name) = at {
            if self.clock.now() > self.handed_over {
                // Later than right after the start nobody hands sessions over: it would be one of no server.
                let to = Addressee { cseq: Some("1".into()), session: Some(sid.to_string()) };
                return self.unreadable(conn, 400, &to);
            }
            self.adopt(conn, &sid, &name, arrival);
            return self.usual(conn);
        }
        if self.standing.knows(&sid) {
            // It is open or stands already: the request that has it stays untouched.
            let to = Addressee { cseq: Some("1".into()), session: Some(sid.to_string()) };
            return self.unreadable(conn, 400, &to);
        }
        let full = self.standing.open() >= self.bounds.open
            || self.standing.open_on(conn) >= self.bounds.open_on_one;
        if full {
            let refusal = viewer::refusal(&sid, self.site.settings.limits.hold_off);
            return self.write(conn, refusal);
        }
        self.next_viewer += 1;
        arrival.viewer = ViewerId(self.next_viewer);
        self.standing.ask(&sid, conn, arrival.viewer);
        self.inputs.push(Input::Arrived(arrival));
    }

    fn adopt(&mut self, conn: ConnId, sid: &Sid, name: &str, arrival: cloverhollow_session::Arrival<Ask>) {
        if self.standing.knows(sid) {
            return;
        }
        let Some(server) = self.directory.server(name) else {
            // What stood there is cut: its viewer comes again.
            tracing::info!(session = %sid, server = name, "handed over at a server that is not listed");
            return self.release(Release { conn, sid: sid.clone(), cause: cause::RESET });
        };
        let now = self.clock.now();
        self.standing.adopt(sid, conn, server, now);
        self.links.stands(server);
        self.inputs.push(Input::Adopted { arrival, server });
    }

    // ---- Video servers ----

    fn send(&mut self, setup: Setup<Ask>) {
        let Setup { attempt, server, address, sid, rung, paid, within, until, ask, .. } = setup;
        let line = Line { blob: Some(ask.blob), ..Line::new(Verb::Start, &sid) }
            .with("class", ask.class)
            .with("key", ask.key)
            .with("left", within.as_millis())
            .with("rung", rung);
        self.links.send(Outgoing { attempt, server, address, sid, paid, line: line.encode(), until });
    }

    fn ended(&mut self, ended: Ended, load: Load) {
        if let Some((attempt, end)) = ended {
            self.inputs.push(Input::AttemptEnded { attempt, end, load });
        }
    }

    fn line(&mut self, id: LinkId, line: Line) {
        let Some(Heard { server, own, closing }) = self.links.heard(id, &line) else { return };
        tracing::debug!(link = id.0, server, ?line, "heard");
        if !own && matches!(line.verb, Verb::Finish | Verb::Notice) {
            // What it says of a session may follow right behind the word that the session stands.
            self.step();
        }
        match (line.verb, own) {
            (Verb::Started, true) => match line.blob {
                Some(answer) => {
                    let Some(attempt) = self.links.done(id) else { return };
                    self.inputs.push(Input::Playing { attempt, load: Load::default(), answer });
                }
                None => self.down(id, Down::Broke),
            },
            (Verb::Finish, true) => {
                let end = match line.rc {
                    Some(cause::FULL) => AttemptEnd::Full,
                    Some(cause::MOOT) => AttemptEnd::NeverSent,
                    Some(cause::ERROR) => AttemptEnd::Error { status: cause::ERROR as u16 },
                    _ => AttemptEnd::Reset,
                };
                let ended = self.links.done(id).map(|attempt| (attempt, end));
                self.ended(ended, told::load(&line));
            }
            (Verb::Finish, false) => {
                let cause = line.rc.unwrap_or(cause::RESET);
                if self.standing.released(server, &line.tag, cause) {
                    let why = match cause {
                        cause::DONE => OverWhy::Ended,
                        cause::CANCELLED => OverWhy::Quit,
                        _ => OverWhy::Lost,
                    };
                    let load = told::load(&line);
                    self.inputs.push(over(line.tag.into(), why, load));
                }
            }
            (Verb::Notice, _) => {
                if let Some(note) = told::note(&line) {
                    self.inputs.push(Input::Note { sid: line.tag.into(), note });
                }
            }
            (Verb::Echo, _) => {
                let passed = Line { rc: Some(1), ..Line::new(Verb::Echoed, &line.tag) };
                self.links.tell(server, passed.encode());
            }
            // A set-up that was given up, or an answer to nothing: it holds nothing that anybody waits for.
            // On one that is being closed its give-up went out already.
            (Verb::Started, false) if !closing && !self.standing.knows(&line.tag) => {
                self.links.tell(server, Line::finish(&line.tag, cause::DONE).encode());
            }
            _ => {}
        }
    }

    fn down(&mut self, id: LinkId, down: Down) {
        let ended = self.links.down(id, down);
        self.ended(ended, Load::default());
    }

    fn recall(&mut self, attempt: AttemptId, why: RecallWhy) {
        let ended = self.links.recall(attempt, why);
        self.ended(ended, Load::default());
    }

    fn look(&mut self) {
        let (standing, core) = (&self.standing, &self.core);
        let cut = self.links.look(|server| standing.any_at(server), |server| core.list().address(server));
        cut.into_iter().for_each(|server| self.cut(server, Duration::MAX));
    }

    /// The sessions that stood at a server before that time are cut.
    fn cut(&mut self, server: ServerId, before: Duration) {
        let cut = self.standing.at(server, before);
        self.links.cut(server);
        if cut.is_empty() {
            return;
        }
        tracing::info!(server, sessions = cut.len(), "a video server has cut its sessions");
        for sid in cut {
            self.standing.released(server, &sid, cause::RESET);
            self.inputs.push(over(sid, OverWhy::Lost, Load::default()));
        }
    }

    // ---- Command channel and configuration ----

    pub(crate) fn told(&mut self, told: Told) {
        match self.directory.take(told, unix_ms()) {
            Ok(None) => {}
            Ok(Some(news)) => self.news(news),
            Err(error) => {
                tracing::warn!(%error, "an event of the command channel is not taken");
                self.from.send_modify(|f| f.anew += 1);
            }
        }
        let cursor = self.directory.cursor();
        self.from.send_modify(|f| f.cursor = cursor);
    }

    fn news(&mut self, news: ListNews) {
        let now = self.clock.now();
        for e in &news.entries {
            // Another process at the same name or at the same address: what stood at the one before is cut.
            if let Some(ago) = e.started_ms_ago {
                self.cut(e.id, now.saturating_sub(Duration::from_millis(ago)));
            }
            if e.state == WireState::Serving {
                let before = self.core.list().others_at(e.address, e.id);
                before.into_iter().for_each(|server| self.cut(server, Duration::MAX));
            }
        }
        self.inputs.push(Input::List(news));
    }

    fn configured(&mut self, config: &Config) {
        tracing::info!(channel = %config.channel, "configuration read again");
        self.from.send_modify(|f| f.address = config.channel);
    }

    // ---- The core's commands ----

    fn carry_out(&mut self, command: Command<Ask, String>) {
        match command {
            Command::Send(setup) => self.send(setup),
            Command::Recall { attempt, why } => self.recall(attempt, why),
            Command::Answer { viewer, answer } => {
                let now = self.clock.now();
                let stands = match &answer {
                    Answer::Stream { route, .. } => Some((route.server, now)),
                    _ => None,
                };
                let Some((conn, sid)) = self.standing.answered(viewer, stands) else {
                    // Its viewer went in this instant: nobody takes what the server has begun.
                    if let Answer::Stream { route, .. } = answer {
                        let line = Line::finish(&route.sid, cause::CANCELLED).encode();
                        self.links.tell(route.server, line);
                        self.inputs.push(over(route.sid.clone(), OverWhy::Quit, Load::default()));
                    }
                    return;
                };
                if let Some((server, _)) = stands {
                    self.links.stands(server);
                }
                tracing::debug!(session = %sid, conn = conn.0, answer = answer.word(), "answered");
                let text = viewer::answer(&sid, &answer, |description| description.clone().into());
                self.write(conn, text);
                if stands.is_some() {
                    self.usual(conn);
                }
            }
            Command::Release { server, sid, .. } => {
                if self.standing.is_held(&sid) {
                    self.links.tell(server, Line::finish(&sid, cause::CANCELLED).encode());
                }
            }
            Command::Over { sid, .. } => {
                if let Some(release) = self.standing.over(&sid) {
                    self.release(release);
                }
            }
            Command::Rung { server, sid, rung } => {
                let line = Line::new(Verb::Rate, &sid).with("rung", rung);
                self.links.tell(server, line.encode());
            }
            // No disk survives this process, and it asks no peers.
            Command::Keep(_) | Command::Merged { .. } => {}
        }
    }
}

fn over(sid: Sid, why: OverWhy, load: Load) -> In {
    Input::Over { sid, why, load }
}
