//! The one task that owns the session core and with it the decision module.
//!
//! What has come in by one instant goes into one step. The desk never waits for a socket: it takes mails,
//! steps, and hands commands to tasks of their own. Dropping it drops all attempts that are out.

use crate::attempt::{self, Held};
use crate::journal::Ticket;
use crate::peers::Outcome;
use crate::release::Releases;
use crate::side::State;
use crate::upstream::{Ask, SetupAnswer};
use crate::Shared;
use cloverhollow::ListMode;
use cloverhollow_session::{
    invariants_hold, Answer, AttemptEnd, AttemptId, CancelReason, Command, Core, EndReason, Input,
    ListUpdate, Load, Policy, SavedList, ViewerId, INVARIANT_EXIT_CODE,
};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// What the desk is told.
pub(crate) struct Mail {
    input: Input<Arc<Ask>, SetupAnswer>,
    reply: Option<oneshot::Sender<Answer<SetupAnswer>>>,
}

impl Mail {
    /// Something happened.
    pub(crate) fn of(input: Input<Arc<Ask>, SetupAnswer>) -> Self {
        Mail { input, reply: None }
    }

    /// A request that waits for its answer.
    pub(crate) fn call(
        arrival: cloverhollow_session::Arrival<Arc<Ask>>,
        reply: oneshot::Sender<Answer<SetupAnswer>>,
    ) -> Self {
        Mail { input: Input::Arrived(arrival), reply: Some(reply) }
    }

    /// News of the server list.
    pub(crate) fn list(news: ListUpdate) -> Self {
        Mail::of(Input::ListUpdate(news))
    }
}

/// Most mails of one step.
const BATCH: usize = 4_096;
/// A step that comes so much later than it was due: this process stood still.
const STOOD_STILL: Duration = Duration::from_millis(200);
/// Time for what came meanwhile to be read from the sockets, before time-outs are looked at.
const CATCH_UP: Duration = Duration::from_millis(20);

pub(crate) struct Desk<P> {
    core: Core<P, Arc<Ask>, SetupAnswer>,
    shared: Arc<Shared>,
    mails: mpsc::Receiver<Mail>,
    /// Requests that wait; as many as there are connections at most.
    replies: HashMap<ViewerId, oneshot::Sender<Answer<SetupAnswer>>>,
    /// Attempts that are out; one a session at most.
    held: HashMap<AttemptId, Held>,
    releases: Releases,
    saver: watch::Sender<Option<SavedList>>,
    outcomes: mpsc::Sender<Outcome>,
    state: Arc<State>,
    /// How many fronts the core was last told of; `None`: the settings' number holds.
    counted: Option<Option<usize>>,
}

type Inputs = Vec<Input<Arc<Ask>, SetupAnswer>>;

impl<P: Policy> Desk<P> {
    pub(crate) fn new(
        core: Core<P, Arc<Ask>, SetupAnswer>,
        shared: Arc<Shared>,
        mails: mpsc::Receiver<Mail>,
        saver: watch::Sender<Option<SavedList>>,
        outcomes: mpsc::Sender<Outcome>,
        state: Arc<State>,
    ) -> Self {
        let releases = Releases::new(shared.clone());
        Desk {
            core,
            shared,
            mails,
            replies: HashMap::new(),
            held: HashMap::new(),
            releases,
            saver,
            outcomes,
            state,
            counted: None,
        }
    }

    pub(crate) async fn run(mut self) {
        let mut box_ = Vec::with_capacity(BATCH);
        loop {
            let due =
                self.core.next_deadline().unwrap_or(self.shared.clock.now() + Duration::from_secs(3600));
            tokio::select! {
                n = self.mails.recv_many(&mut box_, BATCH) => if n == 0 { return },
                () = tokio::time::sleep_until(self.shared.clock.instant(due)) => {}
            }
            // A front that stood still finds its timers past due while answers and drains lie unread in its
            // sockets: those came first.
            if self.shared.clock.now() > due + STOOD_STILL {
                tracing::warn!(late_ms = (self.shared.clock.now() - due).as_millis() as u64, "stood still");
                tokio::time::sleep(CATCH_UP).await;
                while let Ok(mail) = self.mails.try_recv() {
                    box_.push(mail);
                }
            }
            let inputs = self.open(&mut box_);
            self.step(inputs);
        }
    }

    fn open(&mut self, mails: &mut Vec<Mail>) -> Inputs {
        let mut inputs = Vec::with_capacity(mails.len());
        for mail in mails.drain(..) {
            if let (Input::Arrived(a), Some(reply)) = (&mail.input, mail.reply) {
                self.replies.insert(a.viewer, reply);
            }
            if let Input::Playing { attempt, .. } | Input::AttemptEnded { attempt, .. } = &mail.input {
                self.held.remove(attempt);
            }
            inputs.push(mail.input);
        }
        inputs
    }

    /// One instant: steps until what the shell answers at once (recalls) is used up.
    fn step(&mut self, mut inputs: Inputs) {
        loop {
            // Looked at before each step, for whoever stood still holds no count any more.
            let counted = self.state.counted();
            if counted != self.counted {
                self.counted = counted;
                inputs.insert(0, Input::FleetSize { fronts: counted.flatten() });
            }
            let lists = inputs.iter().filter_map(|i| match i {
                Input::ListUpdate(news) => Some(news.mode == ListMode::Full),
                _ => None,
            });
            let (listed, told) = lists.fold((false, false), |(_, told), whole| (true, told | whole));
            let commands = self.core.step(self.shared.clock.now(), inputs);
            if !invariants_hold("session core", || self.core.check()) {
                std::process::exit(INVARIANT_EXIT_CODE);
            }
            if listed {
                // Without a store nobody listens, and nothing is copied.
                if !self.saver.is_closed() {
                    self.saver.send_replace(Some(self.core.saved_list()));
                }
                self.state.set_list(self.core.server_list());
                if told {
                    self.state.set_told();
                }
            }
            self.state.set_held(self.core.session_count());
            let mut next = Vec::new();
            for command in commands {
                next.extend(self.carry_out(command));
            }
            if next.is_empty() {
                return;
            }
            // Answers that lie in the box already go before the words on recalls: they came first.
            let mut first = Vec::new();
            while let Ok(mail) = self.mails.try_recv() {
                first.push(mail);
            }
            inputs = self.open(&mut first);
            inputs.append(&mut next);
        }
    }

    fn carry_out(&mut self, command: Command<Arc<Ask>, SetupAnswer>) -> Option<Input<Arc<Ask>, SetupAnswer>> {
        match command {
            Command::Send(mut setup) => {
                let attempt = setup.attempt;
                let ticket =
                    setup.log_record.take().map_or(Ticket::Free, |deed| self.shared.journal.ask(deed));
                self.held.insert(attempt, attempt::spawn(setup, ticket, self.shared.clone()));
                None
            }
            Command::Persist(deed) => {
                self.shared.journal.tell(deed);
                None
            }
            Command::Cancel { attempt, reason: why } => {
                let held = self.held.get(&attempt)?;
                let end = match (held.recall(), why) {
                    (true, _) => AttemptEnd::NeverSent,
                    (false, CancelReason::Drained) => return None,
                    (false, _) => AttemptEnd::Unanswered,
                };
                self.held.remove(&attempt);
                Some(Input::AttemptEnded { attempt, end, load: Load::default() })
            }
            Command::Answer { viewer, answer } => {
                let refused = self.replies.remove(&viewer)?.send(answer).err()?;
                // Its viewer went in this instant: nobody takes what the server has begun.
                let (Answer::Stream { route, .. } | Answer::Follow(route)) = refused else { return None };
                Some(Input::SessionEnded {
                    sid: route.sid.clone(),
                    reason: EndReason::Quit,
                    load: Load::default(),
                })
            }
            // A viewer's later objects carry the rung, and its player ends by itself.
            Command::SessionEnded { .. } | Command::RungChanged { .. } => None,
            Command::KnowledgeMerged { peer, outcome } => {
                // Its reader is only ever behind by as many as it asks at once.
                let _ = self.outcomes.try_send((peer, outcome));
                None
            }
            Command::Release { address, server, sid } => {
                self.releases.tell(server, address, sid);
                None
            }
        }
    }
}
