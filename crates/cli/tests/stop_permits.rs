//! Permits that limit how many fronts are out of service at once: five front processes, three of them witnesses.

mod supervised;

use rustix::process::Signal;
use std::sync::atomic::Ordering::SeqCst;
use supervised::*;

/// Permit settings with a wait longer than any test.
fn long_wait(_: usize) -> String {
    format!("wait_ms: {WAIT_MS}")
}

const ONE_ZONE: [&str; 5] = ["a"; 5];

#[test]
fn fronts_signalled_at_once_restart_one_at_a_time() {
    let fleet = Fleet::start("out-all", &ONE_ZONE, "fleet: 1, hall: 1", long_wait);
    fleet.fronts.iter().for_each(|f| f.signal(Signal::TERM));
    fleet.wait_until("all have restarted and are ready", || {
        let back = |f: &SupervisedFront| f.exits.load(SeqCst) >= 1 && !f.is_out.load(SeqCst) && f.is_ready();
        fleet.fronts.iter().all(back)
    });
    assert_eq!(fleet.max_out.load(SeqCst), 1, "fronts out at once");
    for (n, f) in fleet.fronts.iter().enumerate() {
        assert_eq!(f.exits.load(SeqCst), 1, "front {n} stopped once");
        let log = f.log();
        assert!(log.contains("goes out under its permit") && !log.contains("without a permit"), "{log}");
    }
    fleet.wait_until("all permits are released", || {
        fleet.fronts.iter().all(|f| f.permit_status()["owed"] == 0) && fleet.max_out.load(SeqCst) == 1
    });
}

#[test]
fn crashed_front_counts_as_out_and_others_keep_serving_until_it_is_back() {
    let fleet = Fleet::start("out-crashed", &ONE_ZONE, "fleet: 1, hall: 1", long_wait);
    let (crashed, signalled) = (&fleet.fronts[4], [0, 3]);
    crashed.restart_enabled.store(false, SeqCst);
    crashed.signal(Signal::KILL);
    fleet.wait_until("the others count it as out", || (0..4).all(|n| fleet.counts_as_out(n, 4)));
    signalled.iter().for_each(|n| fleet.fronts[*n].signal(Signal::TERM));
    fleet.wait_until("both are denied a permit and keep serving", || {
        signalled.iter().all(|n| {
            let (f, out) = (&fleet.fronts[*n], fleet.fronts[*n].permit_status());
            out["wanted"] == true && out["reason"] == "as many of the fleet are out as may be" && f.is_ready()
        })
    });
    assert!(signalled.iter().all(|n| fleet.fronts[*n].exits.load(SeqCst) == 0));
    crashed.restart_enabled.store(true, SeqCst);
    fleet.wait_until("both have restarted and are ready", || {
        signalled.iter().all(|n| fleet.fronts[*n].exits.load(SeqCst) == 1 && fleet.fronts[*n].is_ready())
    });
    assert_eq!(fleet.max_out.load(SeqCst), 1, "fronts out at once");
}

#[test]
fn permits_are_granted_with_two_of_three_witnesses_and_not_with_one() {
    let extra_out = |n| if n == 4 { "wait_ms: 4000".into() } else { long_wait(n) };
    // The limits allow four fronts out, so that only a missing majority can prevent a permit.
    let fleet = Fleet::start("out-witnesses", &ONE_ZONE, "fleet: 4, hall: 4", extra_out);
    fleet.fronts[0].restart_enabled.store(false, SeqCst);
    fleet.wait_until("a witness has left the recovering state", || {
        (0..3).any(|n| fleet.fronts[n].permit_status()["witness"] != "blind")
    });
    // After one change with all three running, each of them has a current state.
    let output = fleet.run_command(3, "out");
    assert!(output.contains("asked: it goes out once it holds a permit"), "{output}");
    fleet.wait_until("it has restarted and is ready", || {
        fleet.fronts[3].exits.load(SeqCst) == 1 && fleet.fronts[3].is_ready()
    });
    fleet.wait_until("all witnesses have a current state", || {
        (0..3).all(|n| fleet.fronts[n].permit_status()["witness"] == "sees")
    });
    let status = fleet.run_command(1, "status");
    assert!(status.contains("permits: 4 of the fleet, 4 of a hall may be out at once"), "{status}");
    assert!(status.contains("witness of permits: sees"), "{status}");
    fleet.fronts[0].signal(Signal::KILL);
    fleet.wait_until("the others count it as out", || (1..5).all(|n| fleet.counts_as_out(n, 0)));
    fleet.fronts[3].signal(Signal::TERM);
    fleet.wait_until("it has restarted with two of three witnesses and is ready", || {
        fleet.fronts[3].exits.load(SeqCst) == 2 && fleet.fronts[3].is_ready()
    });
    fleet.fronts[1].restart_enabled.store(false, SeqCst);
    fleet.fronts[1].signal(Signal::KILL);
    fleet.fronts[4].restart_enabled.store(false, SeqCst);
    fleet.run_command(4, "out");
    fleet.wait_until("it stays in service after the request", || {
        fleet.fronts[4].log().contains("was asked to go out and stays")
    });
    assert!(fleet.fronts[4].exits.load(SeqCst) == 0 && fleet.fronts[4].is_ready());
    [2, 3, 4].iter().for_each(|n| fleet.fronts[*n].signal(Signal::TERM));
    fleet.wait_until("it has stopped without a permit", || fleet.fronts[4].exits.load(SeqCst) == 1);
    let log = fleet.fronts[4].log();
    assert!(log.contains("goes out without a permit") && !log.contains("goes out under its permit"), "{log}");
    for (n, exits) in [(2, 0), (3, 2)] {
        let f = &fleet.fronts[n];
        assert!(f.exits.load(SeqCst) == exits && f.is_ready(), "front {n} is waiting and keeps serving");
        assert_eq!(f.permit_status()["held"], false);
    }
}

#[test]
fn two_fronts_may_be_out_at_once_in_different_zones_but_not_in_one() {
    let zones = ["a", "a", "a", "b", "b"];
    let fleet = Fleet::start("out-zones", &zones, "fleet: 2, hall: 1", long_wait);
    let exits = |n: usize| fleet.fronts[n].exits.load(SeqCst);
    fleet.fronts.iter().for_each(|f| f.restart_enabled.store(false, SeqCst));
    [0, 1].iter().for_each(|n| fleet.fronts[*n].signal(Signal::TERM));
    fleet.wait_until("one of the two has stopped", || exits(0) + exits(1) == 1);
    let (stopped, waiting) = if exits(0) == 1 { (0, 1) } else { (1, 0) };
    fleet.wait_until("the other is denied a permit and keeps serving", || {
        let out = fleet.fronts[waiting].permit_status();
        out["reason"] == "as many of the hall are out as may be" && fleet.fronts[waiting].is_ready()
    });
    fleet.fronts[3].signal(Signal::TERM);
    fleet.wait_until("one in another zone stops meanwhile", || {
        exits(3) == 1 && fleet.max_out.load(SeqCst) == 2
    });
    assert_eq!((exits(stopped), exits(waiting)), (1, 0));
    fleet.fronts.iter().for_each(|f| f.restart_enabled.store(true, SeqCst));
    fleet.wait_until("the other one in the zone has restarted and is ready", || {
        exits(waiting) == 1 && fleet.fronts[waiting].is_ready()
    });
    assert!(fleet.max_out.load(SeqCst) <= 2);
}
