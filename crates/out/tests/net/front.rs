//! What one front of the fleet does by itself, and what is looked at from outside.

use super::*;

impl Net {
    /// What a front's view has: who is dead, stands still or is cut off, some seconds late.
    pub(super) fn world(&self, of: usize) -> FleetView {
        let away = |i: usize, f: &Front| {
            let cut = self.cut.is_some_and(|h| (f.place.zone == h) != (self.fronts[of].place.zone == h));
            (!f.alive && self.now > f.since + s(4)) || self.stalled.contains_key(&i) || cut
        };
        let known = self.fronts.iter().enumerate().map(|(i, f)| {
            let standing = if away(i, f) { Availability::Dead } else { Availability::Serving };
            (
                Subject::Front(i as u64),
                MemberStatus { place: f.place, availability: standing, link_kbit_s: 0 },
            )
        });
        FleetView { members: known.collect(), uncertain_for: Duration::ZERO }
    }

    pub(super) fn hears(&mut self, to: usize, said: Said) {
        let now = self.now;
        match said {
            Said::Word(word @ (Message::Prepare { .. } | Message::Accept { .. })) => {
                let Some(clerk) = &mut self.fronts[to].clerk else { return };
                let answer = clerk.handle_message(now, &word);
                clerk.check_invariants().unwrap();
                self.say_words(to, answer.into_iter().collect());
            }
            Said::Word(word) => {
                let world = self.world(to);
                let limits = self.plan.limits.clone();
                let asker = &mut self.fronts[to].asker;
                let words = asker.handle_message(now, word, GrantContext { fleet: &world, limits: &limits });
                asker.check_invariants().unwrap();
                self.say_words(to, words);
                self.outcome(to);
            }
            Said::Act(act) => {
                let f = &mut self.fronts[to];
                if f.staged.handle_order(act).is_ok() {
                    f.release = act.release;
                }
                f.staged.check_invariants().unwrap();
            }
            Said::Report(from, report) => {
                self.fronts[to].asker.observe_term(report.fence);
                self.fronts[to].reports.insert(from as u64, FrontReport { received_at: now, ..report });
            }
        }
    }

    pub(super) fn outcome(&mut self, i: usize) {
        let now = self.now;
        let f = &mut self.fronts[i];
        let Some(outcome) = f.asker.take_outcome() else { return };
        if std::mem::take(&mut f.driver_asks) {
            if let Some(driver) = &mut f.driver {
                driver.handle_outcome(now, outcome);
                driver.check_invariants(now).unwrap();
            }
            return;
        }
        f.not_before = now + s(1);
        if let Outcome::Committed(value, granted) = outcome {
            value.check_invariants().unwrap();
            if let Some(r) = &value.release {
                f.staged.observe_release(r);
            }
            let mine = Subject::Front(i as u64);
            match granted.filter(|g| g.lease_id.subject == Some(mine)) {
                Some(g) => {
                    self.grants += 1;
                    f.permit = Some(g);
                    if f.out.is_none()
                        && g.is_valid_at(now)
                        && f.staged.pending_restart().is_some_and(|word| word != f.build)
                    {
                        f.out = Some(now + RESTART);
                        f.restarts += 1;
                    } else if f.out.is_none() {
                        f.give_back = true;
                    }
                }
                None => (f.permit, f.give_back) = (None, false),
            }
        }
    }

    /// One step of a front that runs.
    pub(super) fn front(&mut self, i: usize) {
        let now = self.now;
        let f = &mut self.fronts[i];
        let words = f.asker.handle_timeout(now);
        f.asker.check_invariants().unwrap();
        self.say_words(i, words);
        self.outcome(i);
        self.goes(i);
        self.drives(i);
        if (now.as_millis() / 100 + i as u128).is_multiple_of(10) {
            self.reports(i);
        }
    }

    fn goes(&mut self, i: usize) {
        let (now, place) = (self.now, self.fronts[i].place);
        let f = &mut self.fronts[i];
        if let Some(until) = f.out {
            let holds = f.permit.is_some_and(|p| p.is_valid_at(now));
            if now >= until || !holds {
                f.build = f.staged.pending_restart().filter(|_| now >= until).unwrap_or(f.build);
                (f.out, f.give_back) = (None, f.permit.is_some());
            }
        }
        let goes = f.staged.pending_restart().is_some_and(|word| word != f.build);
        f.waits = f.waits.or(Some(now)).filter(|_| goes && f.out.is_none());
        let free = !f.asker.is_busy() && now >= f.not_before;
        let subject = Subject::Front(i as u64);
        if free && f.give_back {
            // From before it is asked for it is not used any more.
            f.permit = None;
            f.asker.submit(now, Change::ReturnPermit { subject });
        } else if free && goes && f.out.is_none() {
            let release = Some(f.release);
            f.asker.submit(now, Change::Grant { subject, place, lease_ms: LEASE_MS, release });
        }
    }

    fn drives(&mut self, i: usize) {
        let now = self.now;
        if self.fronts[i].driver.is_none() || !now.as_millis().is_multiple_of(500) {
            return;
        }
        let world = self.world(i);
        let f = &mut self.fronts[i];
        let Some(driver) = &mut f.driver else { return };
        if f.asker.is_busy() {
            return;
        }
        let todo = driver.step(now, &f.reports, &world);
        driver.check_invariants(now).unwrap();
        for what in todo {
            match what {
                DriverAction::Submit(change) => {
                    self.fronts[i].driver_asks = self.fronts[i].asker.submit(now, change);
                    assert!(self.fronts[i].driver_asks);
                }
                DriverAction::Send(to, act) => self.say(i, to as usize, || Said::Act(act), 0),
            }
        }
    }

    fn reports(&mut self, i: usize) {
        let (now, bad) = (self.now, self.bad_share);
        let (share, word) = (self.rng.random_range(0.0..1.0), self.fronts[i].build);
        let f = &mut self.fronts[i];
        let served = share < if word == 2 { bad } else { 0.9 };
        f.paid = f.paid.combined_with(Tally { requested: 1, served: u32::from(served) });
        let report = FrontReport {
            place: f.place,
            received_at: now,
            running: f.build,
            newest_staged: f.staged.newest_staged(),
            staging_failed: false,
            service_state: if f.out.is_some() { ServiceState::OutByPermit } else { ServiceState::Serving },
            restart_pending: f.staged.pending_restart().is_some_and(|word| word != f.build),
            permit_wait: f.waits.map(|w| now - w),
            failed_restarts: 0,
            rule_violated: false,
            paid: f.paid,
            fence: f.staged.fence(),
        };
        (0..DRIVERS.min(self.fronts.len())).for_each(|to| self.say(i, to, || Said::Report(i, report), 0));
    }

    /// From outside: who is truly out by a permit that holds.
    pub(super) fn look(&mut self) {
        let holds = |f: &&Front| f.permit.is_some_and(|p| p.is_valid_at(self.now));
        let out: Vec<u32> = self.fronts.iter().filter(holds).map(|f| f.place.zone).collect();
        let most = self.plan.limits.fronts;
        assert!(out.len() <= most.fleet.into(), "{} hold permits at {:?}", out.len(), self.now);
        for hall in 0..3 {
            let of = out.iter().filter(|h| **h == hall).count();
            assert!(of <= most.zone.into(), "{of} of hall {hall} at {:?}", self.now);
        }
        self.most_out = self.most_out.max(out.len());
    }

    /// The release, as the newest value at a witness has it.
    pub fn record(&self) -> Option<ReleaseRecord> {
        let taken = self.fronts.iter().filter_map(|f| match (&f.clerk, &f.kept) {
            (Some(clerk), _) if f.alive => clerk.persisted_state().accepted,
            (_, Some(kept)) => kept.accepted.clone(),
            _ => None,
        });
        taken.max_by_key(|t| t.0)?.1.release
    }

    /// An operator that begins what was forgotten and takes back what has halted; whether the release is
    /// over.
    pub fn settles(&mut self, within: Duration) -> bool {
        let until = self.now + within;
        while self.now < until {
            self.run(s(20));
            match self.record().map(|r| r.stage) {
                Some(Stage::Done | Stage::RolledBack) => return true,
                Some(Stage::Halted(cause)) => {
                    self.causes.push(cause);
                    self.operator(|d, now| d.start_rollback(now));
                }
                None => self.operator(|d, _| d.start_release()),
                Some(Stage::Planned) => self.operator(|d, _| d.set_forecast(true)),
                Some(_) => {}
            }
        }
        false
    }

    /// All drivers are told.
    pub fn operator(&mut self, tell: impl Fn(&mut Driver, Duration)) {
        let now = self.now;
        let live = self.fronts.iter_mut().filter(|f| f.alive);
        live.filter_map(|f| f.driver.as_mut()).for_each(|d| tell(d, now));
    }
}
