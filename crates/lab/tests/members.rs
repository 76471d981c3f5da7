//! Members as processes over wires: each waits until what must come has come, with long bounds and no exact times.

use cloverhollow_lab::members::Fleet;
use cloverhollow_lab::wires::{Effect, Side};
use serde_json::Value;
use std::path::Path;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::sleep;

const LONG: Duration = Duration::from_secs(60);
const SUSPICION: Duration = Duration::from_millis(800);
/// A lease, a tenth of it and two seconds.
const HOLD: Duration = Duration::from_millis(1_000 * 11 / 10 + 2_000);

/// Quick members, so that tests are; a lease of a second.
fn quick() -> Value {
    serde_json::json!({
        "probe_ms": 200, "answer_ms": 60, "suspicion_ms": SUSPICION.as_millis() as u64, "gossip_ms": 60,
        "heal_ms": 400, "sync_ms": 1000, "lease_ms": 1000,
    })
}

async fn fleet(name: &str, n: usize) -> Fleet {
    let dir = std::env::temp_dir().join(format!("cloverhollow-members-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    let exe = Path::new(env!("CARGO_BIN_EXE_cloverhollow-lab"));
    let fleet = Fleet::new(exe, dir, n, &quick(), 5).await.unwrap();
    fleet.start_all(LONG).await.unwrap();
    fleet
}

/// The sum of one over the counts in force. Pages are asked one after the other, so a count may lapse or begin
/// between two of them: what is in force on the first and on the last round is looked at.
async fn parts(fleet: &Fleet) -> f64 {
    let counts = |pages: Vec<(usize, Value)>| -> Vec<(usize, u64)> {
        pages.into_iter().filter_map(|(f, p)| Some((f, p["count"]["in_force"].as_u64()?))).collect()
    };
    let (one, two) = (counts(fleet.pages().await), counts(fleet.pages().await));
    one.iter().filter(|c| two.contains(c)).map(|(_, n)| 1.0 / *n as f64).sum()
}

async fn until_all_counted(fleet: &Fleet, n: usize) {
    let all =
        |pages: &[(usize, Value)]| pages.len() == n && pages.iter().all(|(_, p)| p["count"]["in_force"] == n);
    assert!(fleet.until(LONG, all).await.is_some(), "{n} never counted");
}

#[tokio::test(flavor = "multi_thread")]
async fn half_killed_together_are_missed_counted_out_and_found_again() {
    let fleet = fleet("half", 8).await;
    until_all_counted(&fleet, 8).await;
    // One witness of three is among them.
    for front in [2, 4, 5, 6] {
        fleet.fronts.kill(front).await;
    }
    assert!(fleet.until_agreed(LONG).await.is_some(), "missed");
    until_all_counted(&fleet, 4).await;
    for front in [2, 4, 5, 6] {
        fleet.fronts.start(front).await.unwrap();
        assert!(parts(&fleet).await <= 1.0 + 1e-9);
    }
    assert!(fleet.until_agreed(LONG).await.is_some(), "found again");
    until_all_counted(&fleet, 8).await;
    assert!(parts(&fleet).await <= 1.0 + 1e-9);
    fleet.fronts.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn who_is_cut_off_has_no_part_and_comes_back() {
    let fleet = fleet("cut", 6).await;
    until_all_counted(&fleet, 6).await;
    let cut = fleet.fault(Effect::Silent, [4, 5], Side::Both, false);
    let apart = |pages: &[(usize, Value)]| {
        pages.iter().all(|(f, p)| p["view"]["at_most"] == if *f < 4 { 4 } else { 2 })
    };
    assert!(fleet.until(LONG, apart).await.is_some(), "each side sees its own");
    let counted = |pages: &[(usize, Value)]| {
        pages.iter().all(|(f, p)| p["count"]["in_force"] == if *f < 4 { 4.into() } else { Value::Null })
    };
    assert!(fleet.until(LONG, counted).await.is_some(), "only the side with the witnesses has parts");
    fleet.wires.faults.end(cut);
    assert!(fleet.until_agreed(LONG).await.is_some(), "healed");
    until_all_counted(&fleet, 6).await;
    let report = &fleet.wires.faults.reports()[0];
    assert!(report.datagrams > 0 && report.first_ms.is_some(), "the wires saw it: {report:?}");
    fleet.fronts.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn who_stood_still_has_no_part_when_it_wakes_and_is_taken_back() {
    let fleet = fleet("still", 5).await;
    for times in [0.5, 2.0, 10.0] {
        until_all_counted(&fleet, 5).await;
        fleet.fronts.freeze(4);
        sleep(SUSPICION.mul_f64(times)).await;
        if times > 5.0 {
            let three = |pages: &[(usize, Value)]| {
                pages.iter().filter(|(f, _)| *f != 4).all(|(_, p)| p["view"]["at_most"] == 4)
            };
            assert!(fleet.until(LONG, three).await.is_some(), "missed while it stands still");
            sleep(HOLD).await;
        }
        fleet.fronts.thaw(4);
        assert!(parts(&fleet).await <= 1.0 + 1e-9, "{times}");
        assert!(fleet.until_agreed(LONG).await.is_some(), "{times}");
    }
    fleet.fronts.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn under_loss_and_doubling_the_dead_are_missed_and_garbage_changes_nothing() {
    let fleet = fleet("loss", 6).await;
    fleet.fault(Effect::Loss(0.4), 0..6, Side::Both, true);
    fleet.fault(Effect::Double(0.5), 0..6, Side::Both, true);
    fleet.fronts.kill(5).await;
    let stranger = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for n in 0..2_000u32 {
        let _ = stranger.send_to(&n.to_be_bytes().repeat(1 + n as usize % 40), fleet.wires.member(1)).await;
        if n % 50 == 0 {
            sleep(Duration::from_millis(2)).await;
        }
    }
    let missed = |pages: &[(usize, Value)]| pages.iter().all(|(_, p)| fleet.sure(p, 5) == Some("gone"));
    assert!(fleet.until(LONG, missed).await.is_some());
    let page = fleet.page(1).await.unwrap();
    let refused = &page["datagrams"]["refused"];
    assert!(refused["not a datagram of this format"].as_u64() > Some(500), "{refused}");
    assert!(refused["repeated"].as_u64() > Some(0), "doubled ones are not taken twice: {refused}");
    fleet.fronts.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flapping_member_ends_as_its_last_life_and_a_seed_that_is_gone_keeps_nobody_out() {
    let fleet = fleet("flaps", 6).await;
    fleet.fronts.kill(0).await; // a seed, and a witness
    for round in 0..5u32 {
        fleet.fronts.kill(5).await;
        sleep(SUSPICION / 4 * round).await;
        fleet.fronts.start(5).await.unwrap();
        sleep(SUSPICION / 2).await;
    }
    assert!(fleet.until_agreed(LONG).await.is_some());
    until_all_counted(&fleet, 5).await;
    let address = fleet.wires.member(5).to_string();
    let life = |p: &Value| -> Option<String> {
        let of = p["members"].as_array()?.iter().find(|m| m["address"] == *address)?;
        Some(of["life"].as_str()?.to_string())
    };
    let same = |pages: &[(usize, Value)]| {
        let lives: Vec<_> = pages.iter().map(|(_, p)| life(p)).collect();
        lives.iter().all(|l| l.is_some() && *l == lives[0])
    };
    assert!(fleet.until(LONG, same).await.is_some(), "all know the same life");
    fleet.fronts.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_way_without_answers_is_no_death_as_long_as_others_hear() {
    let fleet = fleet("one-way", 5).await;
    // Half of what it sends is lost, all that is sent to it arrives.
    let out = fleet.fault(Effect::Loss(0.5), [4], Side::Out, false);
    let mut wrong = 0;
    for _ in 0..20 {
        sleep(SUSPICION / 4).await;
        let pages = fleet.pages().await;
        let own = pages.iter().find(|(f, _)| *f == 4).map(|(_, p)| p["view"]["at_most"].clone());
        wrong += usize::from(own != Some(5.into()));
    }
    // In virtual time nobody is (`members/tests/swim.rs`); here a busy machine loses some more.
    assert!(wrong <= 5, "it took others for gone on {wrong} looks of 20");
    fleet.wires.faults.end(out);
    assert!(fleet.until_agreed(LONG).await.is_some(), "and is there, wherever it was lost sight of");
    fleet.fronts.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn who_hears_all_and_is_heard_by_nobody_is_missed_and_has_no_part() {
    let fleet = fleet("mute", 5).await;
    until_all_counted(&fleet, 5).await;
    let out = fleet.fault(Effect::Silent, [4], Side::Out, false);
    let missed = |pages: &[(usize, Value)]| {
        pages.iter().all(|(f, p)| match f {
            4 => p["count"]["in_force"].is_null(),
            _ => fleet.sure(p, 4) == Some("gone") && p["count"]["in_force"] == 4,
        })
    };
    assert!(fleet.until(LONG, missed).await.is_some(), "missed and counted out");
    assert!(parts(&fleet).await <= 1.0 + 1e-9);
    fleet.wires.faults.end(out);
    assert!(fleet.until_agreed(LONG).await.is_some(), "healed");
    until_all_counted(&fleet, 5).await;
    fleet.fronts.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn late_and_repeated_datagrams_of_an_earlier_life_change_nothing() {
    let fleet = fleet("late", 5).await;
    until_all_counted(&fleet, 5).await;
    // What its first life says comes when it is dead, twenty times over, and after its next life has begun too.
    let late = fleet.fault(Effect::Delay(SUSPICION * 2), [4], Side::Out, false);
    let again = fleet.fault(Effect::Again(20), [4], Side::Out, false);
    sleep(SUSPICION * 2).await;
    fleet.fronts.kill(4).await;
    fleet.wires.faults.end(late);
    fleet.wires.faults.end(again);
    fleet.fronts.start(4).await.unwrap();
    let own = fleet.page(4).await.unwrap()["me"]["life"].clone();
    assert!(fleet.until_agreed(LONG).await.is_some());
    let address = fleet.wires.member(4).to_string();
    let known = |pages: &[(usize, Value)]| {
        pages.iter().all(|(_, p)| {
            let all = p["members"].as_array().cloned().unwrap_or_default();
            all.iter().any(|m| m["address"] == *address && m["life"] == own && m["sure"] == "there")
        })
    };
    assert!(fleet.until(LONG, known).await.is_some(), "the life that runs is the one that all know");
    // It stays so while the last of the late ones come.
    for _ in 0..20 {
        sleep(SUSPICION / 4).await;
        assert!(known(&fleet.pages().await), "an earlier life's words are taken");
    }
    until_all_counted(&fleet, 5).await;
    let touched: u64 = fleet.wires.faults.reports().iter().map(|r| r.datagrams).sum();
    assert!(touched > 20, "the wires saw it: {touched}");
    let pages = fleet.pages().await;
    let repeated = |p: &Value| p["datagrams"]["refused"]["repeated"].as_u64().unwrap_or(0);
    assert!(pages.iter().map(|(_, p)| repeated(p)).sum::<u64>() > 100, "none is taken twice");
    fleet.fronts.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn who_looks_again_at_a_list_of_which_nearly_half_has_gone_finds_the_rest() {
    let fleet = fleet("gone", 9).await;
    until_all_counted(&fleet, 9).await;
    // It stands still while four of the others go, a seed and witness among them, and one comes back.
    fleet.fronts.freeze(8);
    for front in [1, 4, 5, 6] {
        fleet.fronts.kill(front).await;
    }
    sleep(SUSPICION * 3).await;
    fleet.fronts.start(4).await.unwrap();
    fleet.fronts.thaw(8);
    assert!(parts(&fleet).await <= 1.0 + 1e-9);
    assert!(fleet.until_agreed(LONG).await.is_some(), "the six that run see each other and nobody else");
    until_all_counted(&fleet, 6).await;
    assert!(parts(&fleet).await <= 1.0 + 1e-9);
    fleet.fronts.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_processes_of_one_name_the_older_takes_nothing_new() {
    let fleet = fleet("name", 4).await;
    // A second process under the first one's name, at an address of its own: started by hand, with its settings.
    let dir = std::env::temp_dir().join(format!("cloverhollow-members-{}-name", std::process::id()));
    let mut settings: Value =
        serde_json::from_str(&std::fs::read_to_string(dir.join("front-3.yaml")).unwrap()).unwrap();
    settings["members"].as_object_mut().unwrap().remove("address");
    settings["keep"]["file"] = dir.join("second.keep").to_string_lossy().as_ref().into();
    let config = dir.join("second.yaml");
    std::fs::write(&config, settings.to_string()).unwrap();
    let mut second = tokio::process::Command::new(env!("CARGO_BIN_EXE_cloverhollow-lab"))
        .args(["front", "--policy", "brain", "--config"])
        .arg(&config)
        .stdout(std::process::Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let back = |pages: &[(usize, Value)]| pages.iter().any(|(f, p)| *f == 3 && !p["stepped_back"].is_null());
    assert!(fleet.until(LONG, back).await.is_some(), "the older one steps back");
    let others = fleet.pages().await;
    assert!(others.iter().all(|(f, p)| *f == 3 || p["stepped_back"].is_null()));
    second.kill().await.unwrap();
    fleet.fronts.stop().await;
}
