//! Verdicts: what is taken, what is not, why, and what would help.

mod common;
use cloverhollow_forecast::*;
use common::*;

#[test]
fn a_small_change_of_a_roomy_fleet_is_taken() {
    let set = settings(8, 4);
    let from = layout(8, 16, 4, 80_000.0);
    let mut to = Layout { generation: 2, ..from.clone() };
    to.servers.push(LaidServer { server: 100, cell: 0, rack: 0, ..from.servers[0].clone() });
    let v = judge(&[from, to], &set, &demand(16, 12.0, &DAYS), 1);
    assert_eq!(v.advice, Advice::Take, "{v:#?}");
    assert!(v.at_end.served.middle <= v.at_end.most_served + 1e-9);
    assert_eq!((v.from, v.to), (1, 2));
}

#[test]
fn a_large_change_is_taken_in_waves() {
    let set = settings(8, 4);
    let from = layout(8, 16, 4, 80_000.0);
    let mut to = Layout { generation: 2, ..from.clone() };
    to.servers.iter_mut().for_each(|s| s.weight = 1.1);
    let v = judge(&[from, to], &set, &demand(16, 14.0, &DAYS), 1);
    let Advice::InWaves(sizes) = &v.advice else { panic!("{v:#?}") };
    assert_eq!(sizes.iter().sum::<usize>(), 8);
    assert!(sizes.len() > 1 && v.waves.len() == sizes.len());
    assert!(v.reasons.iter().any(|r| r.contains("in 1 waves")), "{:?}", v.reasons);
    assert!(v.waves.iter().all(|w| w.lost.len() == 2), "each hall is lost once in each wave");
    assert!(v.waves[0].costs.cold_setups.middle > 0.0);
}

/// Title 0 lies on cells 0 and 1. One step takes the server of cell 0 elsewhere, the next that of cell 1:
/// each alone leaves a holder.
#[test]
fn the_last_holder_taken_in_two_harmless_steps_is_refused() {
    let set = settings(8, 4);
    let from = layout(8, 8, 4, 80_000.0);
    let moved = |l: &Layout, i: usize, generation| {
        let mut l = Layout { generation, ..l.clone() };
        l.servers[i].cell = 4;
        l
    };
    let asked = demand(8, 10.0, &DAYS);
    // The loss of a hall does cost the title with one holder; that is not looked at here.
    let bars = Bars { lost_more: 1.0, ..Bars::default() };
    let first = moved(&from, 0, 2);
    for step in [first.clone(), moved(&from, 1, 2)] {
        let v = judge_by(bars, &[from.clone(), step], &set, &asked, 1);
        assert_eq!(v.advice, Advice::Take, "one step leaves a holder: {:?}", v.reasons);
    }
    let v = judge_by(bars, &[from.clone(), first.clone(), moved(&first, 1, 3)], &set, &asked, 1);
    assert!(v.reasons[0].contains("no server holds title 0"), "{:?}", v.reasons);
    assert_eq!((v.advice, v.limiting), (Advice::Dont, Some(Limiting::Title(0))));
    // Nor may a step between do without a holder, though the end has one.
    let between = moved(&first, 1, 3);
    let v = judge_by(bars, &[from.clone(), between, Layout { generation: 4, ..from }], &set, &asked, 1);
    assert_eq!((v.advice, v.limiting), (Advice::Dont, Some(Limiting::Title(0))));
}

#[test]
fn the_limiting_uplink_is_named_and_the_change_helps() {
    let set = settings(8, 4);
    let from = layout(8, 16, 4, 80_000.0);
    let mut to = Layout { generation: 2, ..from.clone() };
    to.uplinks_kb[2] = 20_000.0;
    let asked = demand(16, 16.0, &DAYS);
    let v = judge(&[from, to.clone()], &set, &asked, 1);
    assert_eq!((&v.advice, v.limiting), (&Advice::Dont, Some(Limiting::Uplink(2))), "{v:#?}");
    let change = v.change.expect("a change helps");
    assert_eq!(v.helps, Some(change.words()));
    assert!(matches!(change, Change::Uplink(2, _)), "{change:?}");
    let plan = plan(99);
    let days = Days::new(&set, &plan, &asked, asked.until, 1.0).unwrap();
    let (without, with) =
        (days.foretell(&(&to).into(), false, 4), days.foretell(&(&to.with(&change)).into(), false, 4));
    let over = |f: &Foretold| f.refused.middle + (f.uplinks[&2].high - 1.0).max(0.0);
    assert!(over(&with) < over(&without), "{} {}", over(&with), over(&without));
}

#[test]
fn a_hot_title_on_one_small_link_is_named() {
    let set = settings(8, 0);
    let from = layout(8, 16, 0, 0.0);
    let mut to = Layout { generation: 2, ..from.clone() };
    to.titles[3].cells = 1;
    let mut asked = demand(16, 12.0, &DAYS);
    let lines = asked.days.iter_mut().flat_map(|d| d.values_mut().flatten());
    lines.filter(|a| a.title == 3).for_each(|a| a.began *= 20.0);
    let v = judge(&[from, to.clone()], &set, &asked, 1);
    assert_eq!((&v.advice, v.limiting), (&Advice::Dont, Some(Limiting::Link(4))), "{v:#?}");
    let change = v.change.expect("a change helps");
    let plan = plan(99);
    let days = Days::new(&set, &plan, &asked, asked.until, 1.0).unwrap();
    let refused = |l: &Layout| days.foretell(&l.into(), false, 4).refused.middle;
    assert!(refused(&to.with(&change)) < refused(&to));
}

#[test]
fn a_verdict_too_old_or_for_another_layout_does_not_hold() {
    let v = Verdict {
        advice: Advice::Take,
        to: 2,
        from: 1,
        made: secs(1_000),
        limiting: None,
        helps: None,
        at_end: Foretold::default(),
        as_is: Foretold::default(),
        waves: Vec::new(),
        change: None,
        reasons: Vec::new(),
    };
    let bound = secs(600);
    assert!(v.holds(secs(1_600), bound, 1));
    assert!(!v.holds(secs(1_601), bound, 1), "too old");
    assert!(!v.holds(secs(1_100), bound, 2), "another layout holds");
    assert!(!v.holds(secs(999), bound, 1), "made in the future");
    assert!(v.lets(secs(1_100), bound, 1, 2) && !v.lets(secs(1_100), bound, 1, 3));
    assert!(!Verdict { advice: Advice::Dont, ..v }.lets(secs(1_100), bound, 1, 2));
}

#[test]
fn the_same_seed_gives_the_same_verdict() {
    let set = settings(8, 4);
    let from = layout(8, 16, 4, 60_000.0);
    let mut to = Layout { generation: 2, ..from.clone() };
    to.servers[0].weight = 1.2;
    let asked = demand(16, 16.0, &DAYS);
    let one = judge(&[from.clone(), to.clone()], &set, &asked, 5);
    assert_eq!(one, judge(&[from.clone(), to.clone()], &set, &asked, 5));
    assert_ne!(one.at_end, judge(&[from, to], &set, &asked, 6).at_end);
}

/// Two servers change places; title 0 lies on the cell of the first alone. Both ends hold it, and so does one
/// wave of both; waves of one server do not.
#[test]
fn a_wave_on_the_way_without_a_holder_is_refused() {
    let set = settings(8, 4);
    let mut from = layout(8, 8, 4, 80_000.0);
    from.titles[0].cells = 1;
    let mut to = Layout { generation: 2, ..from.clone() };
    (to.servers[0].cell, to.servers[4].cell) = (4, 0);
    let (asked, plan, mut record) = (demand(8, 8.0, &DAYS), plan(1), Record::default());
    let steps = [from, to];
    let bars = Bars { lost_more: 1.0, wave_more: 1.0, link: 10.0, refused_more: 1.0 };
    let judged = |record: &Record| {
        let now = asked.until;
        let it = Asking { settings: &set, steps: &steps, demand: &asked, now, record, bars, plan: &plan };
        assess(&it).unwrap()
    };
    assert_eq!(judged(&record).advice, Advice::Take);
    let wrong = Came { asked: 1.0, refused: 1.0, ..Came::default() };
    record.add(1, &Foretold::default(), &wrong);
    let v = judged(&record);
    assert_eq!((v.advice, v.limiting), (Advice::Dont, Some(Limiting::Title(0))), "{:?}", v.reasons);
    assert!(v.reasons[0].contains("a wave on the way"), "{:?}", v.reasons);
}
