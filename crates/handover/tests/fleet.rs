//! Fleets in virtual time, from seeds, checked by what receivers saw.

mod hall;

use cloverhollow_handover::*;
use hall::{ms, Cut, Ev, Fleet, Report, Trap, Wires};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

struct Plan {
    fronts: usize,
    sessions: u64,
    room: usize,
    wires: Wires,
    leave: Vec<(usize, u64)>,
    traps: Vec<(&'static str, u32, Trap)>,
}

fn plan(fronts: usize, sessions: u64, leave: &[usize]) -> Plan {
    let leave = leave.iter().map(|at| (*at, 5_000)).collect();
    Plan { fronts, sessions, room: 1_000, wires: Wires::whole((10, 30)), leave, traps: vec![] }
}

fn run(seed: u64, plan: Plan) -> (Fleet, Report) {
    let mut f = Fleet::new(plan.fronts, plan.room, plan.wires, ChaCha8Rng::seed_from_u64(seed));
    f.traps = plan.traps;
    for key in 0..plan.sessions {
        let at = key as usize % plan.fronts;
        f.begin(at, key, key % 3 == 0, key % 11 == 0, key % 4 == 0);
    }
    for (at, when) in plan.leave {
        f.at(ms(when), Ev::Leave { at });
    }
    f.run(ms(120_000));
    let killed = f.fronts.iter().any(|x| !x.up);
    for (key, e) in &f.ends {
        let mut rest = e.given_viewer.iter();
        assert!(
            e.viewer.iter().all(|w| rest.any(|g| g == w)),
            "{key}: {:?} of {:?}",
            e.viewer,
            e.given_viewer
        );
        let mut rest = e.given_server.iter();
        assert!(e.server.iter().all(|w| rest.any(|g| g == w) || *w == Saying::End), "{key}: {:?}", e.server);
        if !e.lost {
            assert!(f.owner(*key).is_some(), "{key} has no owner");
            // Who died may have spoken for it, where its taker went on with what it knew.
            if !killed {
                assert_eq!(e.viewer, e.given_viewer, "session {key}");
                assert_eq!(e.server, e.given_server, "session {key}");
            }
        }
        let at = f.owner(*key);
        let holds = f
            .fronts
            .iter()
            .filter(|x| x.up)
            .filter_map(|x| x.sides.get(key))
            .filter(|s| s.taker().held().is_some());
        assert_eq!(holds.count(), 0, "{key} is held for nobody");
        let leaving = at.filter(|at| f.fronts[*at].leaving);
        let p = leaving.map(|at| f.fronts[at].stream.progress());
        assert!(p.is_none_or(|p| p.under_way == 0 && p.waiting == 0), "{key}: {p:?}");
    }
    let report = f.report.clone();
    (f, report)
}

fn of(sorted: &mut [u64], part: f64) -> u64 {
    sorted.sort_unstable();
    sorted.get(((sorted.len() as f64 - 1.0) * part) as usize).copied().unwrap_or(0)
}

fn say(what: &str, r: &mut Report) {
    let (n, p50, p99) = (r.handed_on.max(1), of(&mut r.stalls, 0.5), of(&mut r.stalls, 0.99));
    println!(
        "{what}: {} handed on, {} stayed or refused, {} lost; {:.1} messages, {:.0} bytes each; stall p50 {p50} p99 {p99} ms; {} copies dropped",
        r.handed_on,
        r.stayed,
        r.lost,
        r.messages as f64 / n as f64,
        r.bytes as f64 / n as f64,
        r.copies,
    );
}

#[test]
fn fronts_that_leave_hand_all_on_over_whole_wires() {
    for (seed, fronts) in [(1, 5), (2, 20), (3, 60)] {
        let (f, mut r) = run(seed, plan(fronts, 400, &[0]));
        say(&format!("{fronts} fronts, whole wires"), &mut r);
        let p = f.fronts[0].stream.progress();
        assert_eq!((p.handed_on, p.stayed, p.lost), (400_usize.div_ceil(fronts), 0, 0));
        assert!(p.may_go(cloverhollow_handover::Plan::Waits));
        assert_eq!((r.lost, r.told), (0, 0));
    }
}

#[test]
fn nothing_is_lost_over_wires_that_lose_double_and_hold_back() {
    for seed in 10..16 {
        let wires = Wires { loss: 30, double: 30, delay: (5, 800), cuts: vec![] };
        let (_, mut r) = run(seed, Plan { wires, ..plan(12, 300, &[0, 4, 8]) });
        say("30% lost, 30% doubled, 5 to 800 ms", &mut r);
        assert_eq!((r.lost, r.told), (0, 0));
    }
}

#[test]
fn a_wire_cut_one_way() {
    for (seed, cut) in [(20, (Some(0), None)), (21, (None, Some(0)))] {
        let cuts = vec![Cut { from: cut.0, to: cut.1, begin: ms(5_100), end: ms(11_000) }];
        let wires = Wires { cuts, ..Wires::whole((10, 30)) };
        let (_, mut r) = run(seed, Plan { wires, ..plan(6, 240, &[0]) });
        say("cut one way for 5.9 s", &mut r);
        assert_eq!((r.lost, r.told), (0, 0));
    }
}

#[test]
fn a_cut_longer_than_a_giver_waits_loses_only_what_was_switched() {
    let cuts = vec![Cut { from: None, to: Some(0), begin: ms(5_060), end: ms(40_000) }];
    let wires = Wires { cuts, ..Wires::whole((10, 30)) };
    let (f, mut r) = run(22, Plan { wires, ..plan(6, 240, &[0]) });
    say("cut one way for 35 s", &mut r);
    let p = f.fronts[0].stream.progress();
    assert_eq!(p.lost, r.told);
    assert!(p.lost <= Limits::default().under_way, "{p:?}");
}

#[test]
fn two_givers_that_hand_each_other_their_sessions() {
    // Nobody else is there: each refuses the other, and both stay; then with others beside them.
    let mut both = plan(2, 80, &[0, 1]);
    both.leave[1].1 = 5_010;
    let (f, mut r) = run(30, both);
    say("two leave and have nobody else", &mut r);
    let p = [0, 1].map(|i| f.fronts[i].stream.progress());
    assert!(p.iter().all(|p| p.lost == 0 && p.may_go(cloverhollow_handover::Plan::Without)), "{p:?}");
    let (_, mut r) = run(31, plan(6, 240, &[0, 1]));
    say("two of six leave", &mut r);
    assert_eq!(r.lost, 0);
}

#[test]
fn a_neighbour_that_fills_up_half_way() {
    let (f, mut r) = run(40, Plan { room: 60, ..plan(4, 200, &[0]) });
    say("room for 30 of 50", &mut r);
    let p = f.fronts[0].stream.progress();
    assert_eq!(r.lost, 0);
    assert_eq!((p.handed_on, p.stayed), (30, 20));
    assert!(p.may_go(cloverhollow_handover::Plan::Without) && !p.may_go(cloverhollow_handover::Plan::Waits));
}

#[test]
fn nothing_under_way_is_five_messages() {
    let mut f = Fleet::new(2, 1_000, Wires::whole((20, 20)), ChaCha8Rng::seed_from_u64(60));
    f.begin(0, 0, true, false, false);
    f.queue.retain(|_, ev| matches!(ev, Ev::Tick { .. }));
    f.at(ms(30), Ev::Leave { at: 0 });
    f.run(ms(2_000));
    let mut r = f.report.clone();
    say("one session, 20 ms a way", &mut r);
    // Offered, held, switched, owned, done: the viewer is told after four ways, and comes after two of its own.
    assert_eq!((r.handed_on, r.messages), (1, 5));
    assert_eq!(r.stalls, vec![60]);
}

#[test]
fn killed_in_each_state() {
    for (i, stage) in ["offering", "held", "switched"].into_iter().enumerate() {
        for (j, trap) in [Trap::KillGiver, Trap::KillTaker, Trap::KillBoth].into_iter().enumerate() {
            let wires = Wires { loss: 10, double: 10, delay: (5, 100), cuts: vec![] };
            let nth = [1, 8, 20][(i + j) % 3];
            let seed = 50 + (3 * i + j) as u64;
            let (f, mut r) = run(seed, Plan { wires, traps: vec![(stage, nth, trap)], ..plan(8, 240, &[0]) });
            say(&format!("{trap:?} when {stage}"), &mut r);
            assert!(f.traps.is_empty(), "nobody was killed");
        }
    }
}

#[test]
fn stopped_in_each_state() {
    for (i, stage) in ["offering", "held", "switched"].into_iter().enumerate() {
        for (j, trap) in [Trap::StallGiver(6_000), Trap::StallTaker(6_000)].into_iter().enumerate() {
            let wires = Wires { loss: 10, double: 10, delay: (5, 100), cuts: vec![] };
            let nth = [1, 10][(i + j) % 2];
            let seed = 70 + (2 * i + j) as u64;
            let (f, mut r) = run(seed, Plan { wires, traps: vec![(stage, nth, trap)], ..plan(8, 240, &[0]) });
            say(&format!("{trap:?} when {stage}"), &mut r);
            assert!(f.traps.is_empty(), "nobody was stopped");
            assert_eq!(r.lost, 0);
        }
    }
}
