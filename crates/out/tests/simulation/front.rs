//! Behaviour of one simulated front, and checks of the whole fleet.

use super::*;

impl Simulation {
    /// Membership view of a front: dead fronts after a delay of some seconds, suspended and isolated ones at
    /// once.
    pub(super) fn fleet_view(&self, observer: usize) -> FleetView {
        let unreachable = |i: usize, f: &Front| {
            let is_cut_off = self
                .isolated_zone
                .is_some_and(|zone| (f.place.zone == zone) != (self.fronts[observer].place.zone == zone));
            (!f.alive && self.now > f.alive_changed_at + seconds(4))
                || self.suspended_until.contains_key(&i)
                || is_cut_off
        };
        let members = self.fronts.iter().enumerate().map(|(i, f)| {
            let availability = if unreachable(i, f) { Availability::Dead } else { Availability::Serving };
            (Subject::Front(i as u64), MemberStatus { place: f.place, availability, link_kbit_s: 0 })
        });
        FleetView { members: members.collect(), uncertain_for: Duration::ZERO }
    }

    pub(super) fn receive(&mut self, to: usize, packet: Packet) {
        let now = self.now;
        match packet {
            Packet::Register(message @ (Message::Prepare { .. } | Message::Accept { .. })) => {
                let Some(acceptor) = &mut self.fronts[to].acceptor else { return };
                let response = acceptor.handle_message(now, &message);
                acceptor.check_invariants().unwrap();
                self.send_messages(to, response.into_iter().collect());
            }
            Packet::Register(message) => {
                let fleet_view = self.fleet_view(to);
                let limits = self.plan.limits.clone();
                let proposer = &mut self.fronts[to].proposer;
                let messages = proposer.handle_message(
                    now,
                    message,
                    GrantContext { fleet: &fleet_view, limits: &limits },
                );
                proposer.check_invariants().unwrap();
                self.send_messages(to, messages);
                self.outcome(to);
            }
            Packet::Order(order) => {
                let f = &mut self.fronts[to];
                if f.staged.handle_order(order).is_ok() {
                    f.release = order.release;
                }
                f.staged.check_invariants().unwrap();
            }
            Packet::Report(from, report) => {
                self.fronts[to].proposer.observe_term(report.fence);
                self.fronts[to].reports.insert(from as u64, FrontReport { received_at: now, ..report });
            }
        }
    }

    pub(super) fn outcome(&mut self, i: usize) {
        let now = self.now;
        let f = &mut self.fronts[i];
        let Some(outcome) = f.proposer.take_outcome() else { return };
        if std::mem::take(&mut f.driver_change_in_progress) {
            if let Some(driver) = &mut f.driver {
                driver.handle_outcome(now, outcome);
                driver.check_invariants(now).unwrap();
            }
            return;
        }
        f.next_request_at = now + seconds(1);
        if let Outcome::Committed(value, granted) = outcome {
            value.check_invariants().unwrap();
            if let Some(r) = &value.release {
                f.staged.observe_release(r);
            }
            let own_subject = Subject::Front(i as u64);
            match granted.filter(|g| g.lease_id.subject == Some(own_subject)) {
                Some(g) => {
                    self.grants += 1;
                    f.permit = Some(g);
                    if f.out_until.is_none()
                        && g.is_valid_at(now)
                        && f.staged.pending_restart().is_some_and(|build| build != f.build)
                    {
                        f.out_until = Some(now + RESTART_TIME);
                        f.restarts += 1;
                    } else if f.out_until.is_none() {
                        f.return_permit = true;
                    }
                }
                None => (f.permit, f.return_permit) = (None, false),
            }
        }
    }

    /// Runs one step of a front.
    pub(super) fn run_front(&mut self, i: usize) {
        let now = self.now;
        let f = &mut self.fronts[i];
        let messages = f.proposer.handle_timeout(now);
        f.proposer.check_invariants().unwrap();
        self.send_messages(i, messages);
        self.outcome(i);
        self.request_permit(i);
        self.run_driver(i);
        if (now.as_millis() / 100 + i as u128).is_multiple_of(10) {
            self.send_reports(i);
        }
    }

    fn request_permit(&mut self, i: usize) {
        let (now, place) = (self.now, self.fronts[i].place);
        let f = &mut self.fronts[i];
        if let Some(until) = f.out_until {
            let permit_valid = f.permit.is_some_and(|p| p.is_valid_at(now));
            if now >= until || !permit_valid {
                f.build = f.staged.pending_restart().filter(|_| now >= until).unwrap_or(f.build);
                (f.out_until, f.return_permit) = (None, f.permit.is_some());
            }
        }
        let restart_pending = f.staged.pending_restart().is_some_and(|build| build != f.build);
        f.waiting_since = f.waiting_since.or(Some(now)).filter(|_| restart_pending && f.out_until.is_none());
        let may_submit = !f.proposer.is_busy() && now >= f.next_request_at;
        let subject = Subject::Front(i as u64);
        if may_submit && f.return_permit {
            // The permit must not be used from before its return is submitted.
            f.permit = None;
            f.proposer.submit(now, Change::ReturnPermit { subject });
        } else if may_submit && restart_pending && f.out_until.is_none() {
            let release = Some(f.release);
            f.proposer.submit(now, Change::Grant { subject, place, lease_ms: LEASE_MS, release });
        }
    }

    fn run_driver(&mut self, i: usize) {
        let now = self.now;
        if self.fronts[i].driver.is_none() || !now.as_millis().is_multiple_of(500) {
            return;
        }
        let fleet_view = self.fleet_view(i);
        let f = &mut self.fronts[i];
        let Some(driver) = &mut f.driver else { return };
        if f.proposer.is_busy() {
            return;
        }
        let actions = driver.step(now, &f.reports, &fleet_view);
        driver.check_invariants(now).unwrap();
        for action in actions {
            match action {
                DriverAction::Submit(change) => {
                    self.fronts[i].driver_change_in_progress = self.fronts[i].proposer.submit(now, change);
                    assert!(self.fronts[i].driver_change_in_progress);
                }
                DriverAction::Send(to, order) => self.send(i, to as usize, || Packet::Order(order), 0),
            }
        }
    }

    fn send_reports(&mut self, i: usize) {
        let (now, new_build_share) = (self.now, self.new_build_share);
        let (random, build) = (self.rng.random_range(0.0..1.0), self.fronts[i].build);
        let f = &mut self.fronts[i];
        let served = random < if build == 2 { new_build_share } else { 0.9 };
        f.paid = f.paid.combined_with(Tally { requested: 1, served: u32::from(served) });
        let report = FrontReport {
            place: f.place,
            received_at: now,
            running: f.build,
            newest_staged: f.staged.newest_staged(),
            staging_failed: false,
            service_state: if f.out_until.is_some() {
                ServiceState::OutByPermit
            } else {
                ServiceState::Serving
            },
            restart_pending: f.staged.pending_restart().is_some_and(|build| build != f.build),
            permit_wait: f.waiting_since.map(|w| now - w),
            failed_restarts: 0,
            rule_violated: false,
            paid: f.paid,
            fence: f.staged.fence(),
        };
        (0..DRIVERS.min(self.fronts.len())).for_each(|to| self.send(i, to, || Packet::Report(i, report), 0));
    }

    /// Checks the limits against all permits that are valid on their holders' clocks.
    pub(super) fn check_permit_limits(&mut self) {
        let has_permit = |f: &&Front| f.permit.is_some_and(|p| p.is_valid_at(self.now));
        let zones: Vec<u32> = self.fronts.iter().filter(has_permit).map(|f| f.place.zone).collect();
        let max = self.plan.limits.fronts;
        assert!(zones.len() <= max.fleet.into(), "{} hold permits at {:?}", zones.len(), self.now);
        for zone in 0..3 {
            let out = zones.iter().filter(|z| **z == zone).count();
            assert!(out <= max.zone.into(), "{out} of zone {zone} at {:?}", self.now);
        }
        self.max_seen_out = self.max_seen_out.max(zones.len());
    }

    /// Release record of the newest value that a witness has accepted.
    pub fn record(&self) -> Option<ReleaseRecord> {
        let accepted = self.fronts.iter().filter_map(|f| match (&f.acceptor, &f.persisted) {
            (Some(acceptor), _) if f.alive => acceptor.persisted_state().accepted,
            (_, Some(persisted)) => persisted.accepted.clone(),
            _ => None,
        });
        accepted.max_by_key(|t| t.0)?.1.release
    }

    /// Runs with an operator who restarts a forgotten release and rolls back a halted one. Returns whether
    /// the release ended within the given time.
    pub fn run_until_ended(&mut self, within: Duration) -> bool {
        let end = self.now + within;
        while self.now < end {
            self.run(seconds(20));
            match self.record().map(|r| r.stage) {
                Some(Stage::Done | Stage::RolledBack) => return true,
                Some(Stage::Halted(cause)) => {
                    self.halt_causes.push(cause);
                    self.operator(|d, now| d.start_rollback(now));
                }
                None => self.operator(|d, _| d.start_release()),
                Some(Stage::Planned) => self.operator(|d, _| d.set_forecast(true)),
                Some(_) => {}
            }
        }
        false
    }

    /// Gives a command to all drivers that are alive.
    pub fn operator(&mut self, command: impl Fn(&mut Driver, Duration)) {
        let now = self.now;
        let alive = self.fronts.iter_mut().filter(|f| f.alive);
        alive.filter_map(|f| f.driver.as_mut()).for_each(|d| command(d, now));
    }
}
