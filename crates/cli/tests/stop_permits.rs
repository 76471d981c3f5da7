//! Fronts that are told to stop go out one after the other: five processes, three of them witnesses.

mod supervised;

use rustix::process::Signal;
use std::sync::atomic::Ordering::SeqCst;
use supervised::*;

fn waits(_: usize) -> String {
    format!("wait_ms: {WAIT_MS}")
}

const ONE_HALL: [&str; 5] = ["a"; 5];

#[test]
fn all_told_in_one_instant_go_one_after_the_other_and_all_come_back() {
    let fleet = Fleet::start("out-all", &ONE_HALL, "fleet: 1, hall: 1", waits);
    fleet.fronts.iter().for_each(|f| f.signal(Signal::TERM));
    fleet.until("all have gone and are back", || {
        let back = |f: &One| f.ends.load(SeqCst) >= 1 && !f.ended.load(SeqCst) && f.is_ready();
        fleet.fronts.iter().all(back)
    });
    assert_eq!(fleet.most.load(SeqCst), 1, "out at once");
    for (n, f) in fleet.fronts.iter().enumerate() {
        assert_eq!(f.ends.load(SeqCst), 1, "front {n} went once");
        let log = f.log();
        assert!(log.contains("goes out under its permit") && !log.contains("without a permit"), "{log}");
    }
    fleet.until("all permits are given back", || {
        fleet.fronts.iter().all(|f| f.out()["owed"] == 0) && fleet.most.load(SeqCst) == 1
    });
}

#[test]
fn one_that_died_counts_as_out_and_the_others_wait_serving_until_it_is_back() {
    let fleet = Fleet::start("out-dead", &ONE_HALL, "fleet: 1, hall: 1", waits);
    let (dead, told) = (&fleet.fronts[4], [0, 3]);
    dead.again.store(false, SeqCst);
    dead.signal(Signal::KILL);
    fleet.until("it is missed", || (0..4).all(|n| fleet.counts_out(n, 4)));
    told.iter().for_each(|n| fleet.fronts[*n].signal(Signal::TERM));
    fleet.until("they were denied for its sake, and serve on", || {
        told.iter().all(|n| {
            let (f, out) = (&fleet.fronts[*n], fleet.fronts[*n].out());
            out["wanted"] == true && out["reason"] == "as many of the fleet are out as may be" && f.is_ready()
        })
    });
    assert!(told.iter().all(|n| fleet.fronts[*n].ends.load(SeqCst) == 0));
    dead.again.store(true, SeqCst);
    fleet.until("both have gone and are back", || {
        told.iter().all(|n| fleet.fronts[*n].ends.load(SeqCst) == 1 && fleet.fronts[*n].is_ready())
    });
    assert_eq!(fleet.most.load(SeqCst), 1, "out at once");
}

#[test]
fn permits_outlive_one_witness_and_none_is_given_without_a_majority() {
    let more = |n| if n == 4 { "wait_ms: 4000".into() } else { waits(n) };
    // So many that no limit is in the way: what is missing is the majority alone.
    let fleet = Fleet::start("out-witnesses", &ONE_HALL, "fleet: 4, hall: 4", more);
    fleet.fronts[0].again.store(false, SeqCst);
    fleet.until("the witnesses see", || (0..3).any(|n| fleet.fronts[n].out()["witness"] != "blind"));
    // One change while all three live: from then on each of them sees.
    let asked = fleet.command(3, "out");
    assert!(asked.contains("asked: it goes out once it holds a permit"), "{asked}");
    fleet.until("it has gone and is back", || {
        fleet.fronts[3].ends.load(SeqCst) == 1 && fleet.fronts[3].is_ready()
    });
    fleet.until("all witnesses see", || (0..3).all(|n| fleet.fronts[n].out()["witness"] == "sees"));
    let status = fleet.command(1, "status");
    assert!(status.contains("permits: 4 of the fleet, 4 of a hall may be out at once"), "{status}");
    assert!(status.contains("witness of permits: sees"), "{status}");
    fleet.fronts[0].signal(Signal::KILL);
    fleet.until("it is missed", || (1..5).all(|n| fleet.counts_out(n, 0)));
    fleet.fronts[3].signal(Signal::TERM);
    fleet.until("it has gone by two witnesses of three and is back", || {
        fleet.fronts[3].ends.load(SeqCst) == 2 && fleet.fronts[3].is_ready()
    });
    fleet.fronts[1].again.store(false, SeqCst);
    fleet.fronts[1].signal(Signal::KILL);
    fleet.fronts[4].again.store(false, SeqCst);
    fleet.command(4, "out");
    fleet.until("asked, it stays", || fleet.fronts[4].log().contains("was asked to go out and stays"));
    assert!(fleet.fronts[4].ends.load(SeqCst) == 0 && fleet.fronts[4].is_ready());
    [2, 3, 4].iter().for_each(|n| fleet.fronts[*n].signal(Signal::TERM));
    fleet.until("it has gone without a permit", || fleet.fronts[4].ends.load(SeqCst) == 1);
    let log = fleet.fronts[4].log();
    assert!(log.contains("goes out without a permit") && !log.contains("goes out under its permit"), "{log}");
    for (n, before) in [(2, 0), (3, 2)] {
        let f = &fleet.fronts[n];
        assert!(f.ends.load(SeqCst) == before && f.is_ready(), "front {n} waits and serves");
        assert_eq!(f.out()["held"], false);
    }
}

#[test]
fn two_of_different_halls_go_at_the_same_time_and_two_of_one_do_not() {
    let halls = ["a", "a", "a", "b", "b"];
    let fleet = Fleet::start("out-halls", &halls, "fleet: 2, hall: 1", waits);
    let ends = |n: usize| fleet.fronts[n].ends.load(SeqCst);
    fleet.fronts.iter().for_each(|f| f.again.store(false, SeqCst));
    [0, 1].iter().for_each(|n| fleet.fronts[*n].signal(Signal::TERM));
    fleet.until("one of the two has gone", || ends(0) + ends(1) == 1);
    let (gone, waits) = if ends(0) == 1 { (0, 1) } else { (1, 0) };
    fleet.until("the other is denied, and serves on", || {
        let out = fleet.fronts[waits].out();
        out["reason"] == "as many of the hall are out as may be" && fleet.fronts[waits].is_ready()
    });
    fleet.fronts[3].signal(Signal::TERM);
    fleet.until("one of another hall goes meanwhile", || ends(3) == 1 && fleet.most.load(SeqCst) == 2);
    assert_eq!((ends(gone), ends(waits)), (1, 0));
    fleet.fronts.iter().for_each(|f| f.again.store(true, SeqCst));
    fleet.until("the other of the hall has gone and is back", || {
        ends(waits) == 1 && fleet.fronts[waits].is_ready()
    });
    assert!(fleet.most.load(SeqCst) <= 2);
}
