//! Event loop: the one task that owns the session core and with it the placement policy.
//!
//! All events that have arrived by one instant are passed to the core in one step. The loop never waits for a
//! socket: it receives events, steps the core, and hands the resulting commands to other tasks. Dropping it
//! aborts all attempts in flight.

use crate::attempt::{self, AttemptHandle};
use crate::peers::MergeOutcome;
use crate::release::SessionEndReporter;
use crate::side_endpoint::FrontStatus;
use crate::upstream::{SetupResponse, ViewerRequest};
use crate::write_ahead_log::WriteReceipt;
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

/// Item of the event loop's queue.
pub(crate) struct LoopEvent {
    input: Input<Arc<ViewerRequest>, SetupResponse>,
    reply: Option<oneshot::Sender<Answer<SetupResponse>>>,
}

impl LoopEvent {
    /// Creates an event that expects no reply.
    pub(crate) fn from_input(input: Input<Arc<ViewerRequest>, SetupResponse>) -> Self {
        LoopEvent { input, reply: None }
    }

    /// Creates an event for a viewer's request, whose answer goes to `reply`.
    pub(crate) fn arrival(
        arrival: cloverhollow_session::Arrival<Arc<ViewerRequest>>,
        reply: oneshot::Sender<Answer<SetupResponse>>,
    ) -> Self {
        LoopEvent { input: Input::Arrived(arrival), reply: Some(reply) }
    }

    /// Creates an event for an update of the server list.
    pub(crate) fn list_update(update: ListUpdate) -> Self {
        LoopEvent::from_input(Input::ListUpdate(update))
    }
}

/// Maximum number of events in one step.
const MAX_BATCH_EVENTS: usize = 4_096;
/// Delay of a due step beyond which the process is taken to have been suspended.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(200);
/// Time for the sockets to be read after a suspension, before time-outs are evaluated.
const CATCH_UP_DELAY: Duration = Duration::from_millis(20);

/// Owner of the session core; carries out its commands through tasks of their own.
pub(crate) struct EventLoop<P> {
    core: Core<P, Arc<ViewerRequest>, SetupResponse>,
    shared: Arc<Shared>,
    event_rx: mpsc::Receiver<LoopEvent>,
    /// Reply channels of the waiting requests, at most one for each viewer connection.
    replies: HashMap<ViewerId, oneshot::Sender<Answer<SetupResponse>>>,
    /// Attempts in flight, at most one for each session.
    attempts: HashMap<AttemptId, AttemptHandle>,
    session_end_reporter: SessionEndReporter,
    list_tx: watch::Sender<Option<SavedList>>,
    merge_tx: mpsc::Sender<MergeOutcome>,
    status: Arc<FrontStatus>,
    /// Fleet size last passed to the core. Inner `None`: no lease count is in force. Outer `None`: the size
    /// from the settings applies.
    last_fleet_size: Option<Option<usize>>,
}

type Inputs = Vec<Input<Arc<ViewerRequest>, SetupResponse>>;

impl<P: Policy> EventLoop<P> {
    pub(crate) fn new(
        core: Core<P, Arc<ViewerRequest>, SetupResponse>,
        shared: Arc<Shared>,
        event_rx: mpsc::Receiver<LoopEvent>,
        list_tx: watch::Sender<Option<SavedList>>,
        merge_tx: mpsc::Sender<MergeOutcome>,
        status: Arc<FrontStatus>,
    ) -> Self {
        let session_end_reporter = SessionEndReporter::new(shared.clone());
        EventLoop {
            core,
            shared,
            event_rx,
            replies: HashMap::new(),
            attempts: HashMap::new(),
            session_end_reporter,
            list_tx,
            merge_tx,
            status,
            last_fleet_size: None,
        }
    }

    pub(crate) async fn run(mut self) {
        let mut events = Vec::with_capacity(MAX_BATCH_EVENTS);
        loop {
            let deadline =
                self.core.next_deadline().unwrap_or(self.shared.clock.now() + Duration::from_secs(3600));
            tokio::select! {
                n = self.event_rx.recv_many(&mut events, MAX_BATCH_EVENTS) => if n == 0 { return },
                () = tokio::time::sleep_until(self.shared.clock.instant(deadline)) => {}
            }
            // After a suspension the timers are overdue while responses and drain notices wait unread in the
            // sockets. Those arrived first, so they are read first.
            if self.shared.clock.now() > deadline + SUSPENSION_THRESHOLD {
                tracing::warn!(
                    late_ms = (self.shared.clock.now() - deadline).as_millis() as u64,
                    "process was suspended"
                );
                tokio::time::sleep(CATCH_UP_DELAY).await;
                while let Ok(event) = self.event_rx.try_recv() {
                    events.push(event);
                }
            }
            let inputs = self.take_inputs(&mut events);
            self.step(inputs);
        }
    }

    /// Converts queued events to inputs; stores their reply channels and drops the handles of ended attempts.
    fn take_inputs(&mut self, events: &mut Vec<LoopEvent>) -> Inputs {
        let mut inputs = Vec::with_capacity(events.len());
        for event in events.drain(..) {
            if let (Input::Arrived(a), Some(reply)) = (&event.input, event.reply) {
                self.replies.insert(a.viewer, reply);
            }
            if let Input::Playing { attempt, .. } | Input::AttemptEnded { attempt, .. } = &event.input {
                self.attempts.remove(attempt);
            }
            inputs.push(event.input);
        }
        inputs
    }

    /// Steps the core, and repeats with the inputs that result from its commands at once (such as ends of
    /// cancelled attempts) until there are none.
    fn step(&mut self, mut inputs: Inputs) {
        loop {
            // Read before each step, because a process that was suspended no longer holds a valid count.
            let fleet_size = self.status.fleet_size();
            if fleet_size != self.last_fleet_size {
                self.last_fleet_size = fleet_size;
                inputs.insert(0, Input::FleetSize { fronts: fleet_size.flatten() });
            }
            let lists = inputs.iter().filter_map(|i| match i {
                Input::ListUpdate(update) => Some(update.mode == ListMode::Full),
                _ => None,
            });
            let (list_changed, full_list) =
                lists.fold((false, false), |(_, any_full), is_full| (true, any_full | is_full));
            let commands = self.core.step(self.shared.clock.now(), inputs);
            if !invariants_hold("session core", || self.core.check()) {
                std::process::exit(INVARIANT_EXIT_CODE);
            }
            if list_changed {
                // Without a store there is no receiver, and the list is not copied.
                if !self.list_tx.is_closed() {
                    self.list_tx.send_replace(Some(self.core.saved_list()));
                }
                self.status.set_list(self.core.server_list());
                if full_list {
                    self.status.set_full_list_received();
                }
            }
            self.status.set_session_count(self.core.session_count());
            let mut results = Vec::new();
            for command in commands {
                results.extend(self.execute(command));
            }
            if results.is_empty() {
                return;
            }
            // Events already in the queue precede the results of the cancellations, because they arrived
            // first.
            let mut queued = Vec::new();
            while let Ok(event) = self.event_rx.try_recv() {
                queued.push(event);
            }
            inputs = self.take_inputs(&mut queued);
            inputs.append(&mut results);
        }
    }

    /// Carries out a command. Returns the input that results at once, if any.
    fn execute(
        &mut self,
        command: Command<Arc<ViewerRequest>, SetupResponse>,
    ) -> Option<Input<Arc<ViewerRequest>, SetupResponse>> {
        match command {
            Command::Send(mut setup) => {
                let attempt = setup.attempt;
                let receipt = setup
                    .log_record
                    .take()
                    .map_or(WriteReceipt::NotRequired, |record| self.shared.log.append_confirmed(record));
                self.attempts.insert(attempt, attempt::spawn(setup, receipt, self.shared.clone()));
                None
            }
            Command::Persist(record) => {
                self.shared.log.append(record);
                None
            }
            Command::Cancel { attempt, reason } => {
                let attempt_handle = self.attempts.get(&attempt)?;
                let end = match (attempt_handle.cancel(), reason) {
                    (true, _) => AttemptEnd::NeverSent,
                    (false, CancelReason::Drained) => return None,
                    (false, _) => AttemptEnd::Unanswered,
                };
                self.attempts.remove(&attempt);
                Some(Input::AttemptEnded { attempt, end, load: Load::default() })
            }
            Command::Answer { viewer, answer } => {
                let undelivered = self.replies.remove(&viewer)?.send(answer).err()?;
                // The viewer disconnected at this instant, so nobody receives the stream that the server has
                // started.
                let (Answer::Stream { route, .. } | Answer::Follow(route)) = undelivered else { return None };
                Some(Input::SessionEnded {
                    sid: route.sid.clone(),
                    reason: EndReason::Quit,
                    load: Load::default(),
                })
            }
            // The viewer's later object requests pick up the rung from the route, and a player stops by
            // itself.
            Command::SessionEnded { .. } | Command::RungChanged { .. } => None,
            Command::KnowledgeMerged { peer, outcome } => {
                // The receiver lags by at most the number of peer requests in flight.
                let _ = self.merge_tx.try_send((peer, outcome));
                None
            }
            Command::Release { address, server, sid } => {
                self.session_end_reporter.report(server, address, sid);
                None
            }
        }
    }
}
