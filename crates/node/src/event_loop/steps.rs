//! The event loop itself, and the steps of the session core.

use super::*;

impl EventLoop {
    /// Runs until the process is to end and no answer is pending. Bytes that are then still queued for
    /// viewers are written by the connections' tasks.
    pub(crate) async fn run(mut self, mut event_rx: mpsc::Receiver<LoopEvent>) {
        let mut events = Vec::with_capacity(MAX_EVENTS_PER_STEP);
        loop {
            self.message_budget = MAX_MESSAGES_PER_STEP;
            let now = self.clock.now();
            let next_maintenance = self.last_maintenance + MAINTENANCE_INTERVAL;
            let due = self.core.next_deadline().map_or(next_maintenance, |d| d.min(next_maintenance));
            tokio::select! {
                biased; // each step handles what viewers have sent, but no further events
                n = event_rx.recv_many(&mut events, MAX_EVENTS_PER_STEP) => if n == 0 { return },
                Some(conn) = self.ready_rx.recv() => self.receive_turn(conn),
                () = tokio::time::sleep_until(self.clock.instant(due.max(now))) => {}
            }
            for event in events.drain(..) {
                self.handle_event(event);
            }
            self.step_and_maintain().await;
            if self.message_budget == 0 {
                // More messages of viewers wait; the connections' tasks run before they are handled.
                tokio::task::yield_now().await;
            }
            if self.is_shutdown_due(|schedule| schedule.exit_after)
                && self.registry.pending_setups() == 0
                && event_rx.is_empty()
                && self.ready_rx.is_empty()
            {
                return self.finish().await;
            }
        }
    }

    /// Runs one step of the core, and the maintenance of connections if it is due.
    pub(super) async fn step_and_maintain(&mut self) {
        let answered = self.apply_inputs();
        if answered {
            // Lets the connections' tasks write the answers now, without waiting for the next decisions.
            tokio::task::yield_now().await;
        }
        // Maintenance runs after the inputs are applied, so that servers in a new list have their addresses.
        let now = self.clock.now();
        if now >= self.last_maintenance + MAINTENANCE_INTERVAL {
            self.last_maintenance = now;
            self.run_maintenance();
        }
        self.decide();
    }

    /// Steps the core until no inputs are left, including those that its commands produce at once.
    pub(super) fn step(&mut self) {
        self.apply_inputs();
        self.decide();
    }

    /// First half of a step. Returns whether servers' answers were queued for viewers.
    fn apply_inputs(&mut self) -> bool {
        self.receive_from_viewers();
        let inputs = std::mem::take(&mut self.inputs);
        let commands = self.core.process_inputs(self.clock.now(), inputs);
        let is_stream_answer = |c: &Command<SetupRequest, String>| {
            matches!(c, Command::Answer { answer: Answer::Stream { .. }, .. })
        };
        let answered = commands.iter().any(is_stream_answer);
        commands.into_iter().for_each(|command| self.execute(command));
        answered
    }

    /// Second half of a step, followed by whole steps while its commands produce inputs.
    fn decide(&mut self) {
        loop {
            let commands = self.core.decide();
            if !invariants_hold("session core", || self.core.check()) {
                std::process::exit(INVARIANT_EXIT_CODE);
            }
            commands.into_iter().for_each(|command| self.execute(command));
            if self.inputs.is_empty() {
                return;
            }
            self.apply_inputs();
        }
    }
}
