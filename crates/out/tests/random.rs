//! Random commands at the register, each compared with its expected effect.

use cloverhollow_out::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use std::collections::BTreeSet;

#[derive(Clone, Debug)]
enum Command {
    Grant(u64, u64, Option<u64>),
    ReturnPermit(u64, u64),
    RemoveExpired(usize),
    StartRelease(u64, u64, bool),
    DriveRelease(u64, bool),
    AdvanceRelease(u64, ReleaseEvent),
    HaltRelease,
}

/// The expected effect is derived from the value before each command, so the reference model has no state.
#[derive(Clone, Debug, Default)]
struct NoModel;

fn event() -> impl Strategy<Value = ReleaseEvent> {
    prop_oneof![
        Just(ReleaseEvent::ForecastAllowed),
        Just(ReleaseEvent::Staged),
        Just(ReleaseEvent::WaveCompleted),
        Just(ReleaseEvent::ObservationPassed),
        Just(ReleaseEvent::Halt(HaltCause::RuleViolation))
    ]
}

impl ReferenceStateMachine for NoModel {
    type State = NoModel;
    type Transition = Command;

    fn init_state() -> BoxedStrategy<NoModel> {
        Just(NoModel).boxed()
    }

    fn transitions(_: &NoModel) -> BoxedStrategy<Command> {
        let (front, incarnation) = (0u64..6, 1u64..4);
        prop_oneof![
            4 => (front.clone(), incarnation.clone(), proptest::option::of(1u64..4))
                .prop_map(|(f, i, r)| Command::Grant(f, i, r)),
            2 => (front, incarnation.clone()).prop_map(|(f, i)| Command::ReturnPermit(f, i)),
            1 => (0usize..4).prop_map(Command::RemoveExpired),
            1 => (incarnation.clone(), 1u64..4, any::<bool>())
                .prop_map(|(i, n, b)| Command::StartRelease(i, n, b)),
            2 => (incarnation.clone(), any::<bool>()).prop_map(|(i, e)| Command::DriveRelease(i, e)),
            4 => (incarnation, event()).prop_map(|(i, e)| Command::AdvanceRelease(i, e)),
            1 => Just(Command::HaltRelease),
        ]
        .boxed()
    }

    fn apply(state: NoModel, _: &Command) -> NoModel {
        state
    }
}

struct RegisterUnderTest {
    register: Register,
    request_id: u32,
    fences: BTreeSet<Term>,
}

const MAX_OUT: usize = 3;

impl RegisterUnderTest {
    fn change(&mut self, holder: u64, change: &Change, is_expired: bool) -> Result<Applied, DenialReason> {
        self.request_id += 1;
        let max = MaxOutOfService { fleet: MAX_OUT as u16, zone: MAX_OUT as u16, rack: 9 };
        let limits = Limits {
            fronts: max,
            servers: max,
            cells_per_title: 0,
            ring_cells: 0,
            free_link_kbit_s: None,
            max_uncertain_ms: 1,
        };
        let (fleet, before) = (FleetView::default(), self.register.clone());
        let expired = before.release.filter(|_| is_expired).map(|r| r.lease_id()).into_iter().collect();
        let mut value = before.clone();
        let context = GrantContext { fleet: &fleet, limits: &limits };
        let result = value.apply((holder, self.request_id), change, &expired, context);
        match result {
            Ok(Applied::Changed) => {
                assert_eq!(value.term, Term(before.term.0 + 1), "each change increases the term by one");
                // The same request applied again has no further effect.
                let mut repeated = value.clone();
                assert!(repeated.apply((holder, self.request_id), change, &expired, context).is_ok());
                assert_eq!(repeated.permits, value.permits, "a request applied twice takes effect once");
                assert_eq!(repeated.release, value.release, "a request applied twice takes effect once");
            }
            _ => assert_eq!(value, before, "a denied change leaves the register unchanged"),
        }
        self.register = value;
        result
    }
}

impl StateMachineTest for RegisterUnderTest {
    type SystemUnderTest = RegisterUnderTest;
    type Reference = NoModel;

    fn init_test(_: &NoModel) -> RegisterUnderTest {
        RegisterUnderTest { register: Register::default(), request_id: 0, fences: BTreeSet::new() }
    }

    fn apply(mut sut: RegisterUnderTest, _: &NoModel, command: Command) -> RegisterUnderTest {
        let before = sut.register.clone();
        match command {
            Command::Grant(front, holder, release) => {
                let subject = Subject::Front(front);
                let grant = Change::Grant { subject, place: Place::default(), lease_ms: 1_000, release };
                let result = sut.change(holder, &grant, false);
                let existing = before.permits.iter().find(|p| p.subject == subject);
                let stage = before.release.filter(|r| Some(r.number) == release).map(|r| r.stage);
                let permits_allowed =
                    matches!(stage, Some(Stage::Canary | Stage::Wave(_) | Stage::RollingBack));
                match existing {
                    Some(p) => assert_eq!(result.is_ok(), p.holder == holder),
                    None => {
                        assert_eq!(
                            result.is_ok(),
                            before.permits.len() < MAX_OUT && (release.is_none() || permits_allowed)
                        )
                    }
                }
            }
            Command::ReturnPermit(front, holder) => {
                let change = Change::ReturnPermit { subject: Subject::Front(front) };
                assert!(sut.change(holder, &change, false).is_ok());
            }
            Command::RemoveExpired(n) => {
                let id = sut.register.permits.get(n).map(Permit::lease_id);
                sut.register.remove_expired(&id.into_iter().collect());
                let unknown = LeaseId { subject: None, holder: 0, request_id: 0 };
                sut.register.remove_expired(&BTreeSet::from([unknown]));
                assert_eq!(sut.register.permits.len(), before.permits.len() - usize::from(id.is_some()));
            }
            Command::StartRelease(holder, number, is_rollback) => {
                let start = Change::StartRelease { number, plan_digest: 5, is_rollback, lease_ms: 1_000 };
                if sut.change(holder, &start, false).is_ok() {
                    assert!(
                        before.release.is_none_or(|r| r.number < number),
                        "release numbers only increase"
                    );
                    assert!(
                        sut.fences.insert(sut.register.release.unwrap().fence),
                        "the fencing token is unique"
                    );
                }
            }
            Command::DriveRelease(holder, is_expired) => {
                let result = sut.change(
                    holder,
                    &Change::DriveRelease { plan_digests: [5, 6], lease_ms: 1_000 },
                    is_expired,
                );
                let (Ok(_), Some(r), Some(current)) = (result, before.release, sut.register.release) else {
                    return sut;
                };
                assert_eq!(r.fence == current.fence, r.driver == holder && !is_expired);
                assert!(
                    r.fence == current.fence || sut.fences.insert(current.fence),
                    "the fencing token is unique"
                );
            }
            Command::AdvanceRelease(holder, event) => {
                let Some(r) = before.release else { return sut };
                let step = Change::AdvanceRelease { fence: r.fence, from: r.stage, event, last_wave: 2 };
                let result = sut.change(holder, &step, false);
                let to = next_stage(r.stage, event, 2);
                assert_eq!(result.is_ok(), r.driver == holder && to.is_some());
                let current = sut.register.release.unwrap().stage;
                assert_eq!(current, to.filter(|_| result.is_ok()).unwrap_or(r.stage));
            }
            Command::HaltRelease => {
                let number = before.release.map_or(0, |r| r.number);
                let _ = sut.change(9, &Change::HaltRelease { number, cause: HaltCause::Operator }, false);
            }
        }
        sut
    }

    fn check_invariants(sut: &RegisterUnderTest, _: &NoModel) {
        sut.register.check_invariants().unwrap();
        assert!(sut.register.permits.len() <= MAX_OUT);
    }
}

fn config(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(20_261_202);
    ProptestConfig { cases, failure_persistence: None, rng_seed, ..ProptestConfig::default() }
}

prop_state_machine! {
    #![proptest_config(config(128))]

    #[test]
    fn register_keeps_its_invariants_under_random_commands(sequential 1..60 => RegisterUnderTest);
}
