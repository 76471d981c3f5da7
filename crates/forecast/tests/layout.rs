//! Layouts: checked, changed, and on the way.

mod common;
use cloverhollow_forecast::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[test]
fn what_is_no_layout_is_refused() {
    let good = layout(6, 6, 3, 50_000.0);
    assert_eq!(good.check(6), Ok(()));
    let bad = |f: &dyn Fn(&mut Layout)| {
        let mut l = good.clone();
        f(&mut l);
        l.check(6).unwrap_err()
    };
    assert_eq!(bad(&|l| l.servers.clear()), BadLayout::None("servers"));
    assert_eq!(bad(&|l| l.fronts.clear()), BadLayout::None("fronts"));
    assert_eq!(bad(&|l| l.servers[1].server = 1), BadLayout::Twice("server", 1));
    assert_eq!(bad(&|l| l.titles[1].title = 0), BadLayout::Twice("title", 0));
    assert_eq!(bad(&|l| l.servers[1].hall = 2), BadLayout::Index("a server", "hall", 2));
    assert_eq!(bad(&|l| l.servers[1].rack = 3), BadLayout::Index("a server", "rack", 3));
    assert_eq!(bad(&|l| l.fronts[0] = 7), BadLayout::Index("a front", "hall", 7));
    assert!(matches!(bad(&|l| l.servers[0].weight = f64::NAN), BadLayout::Size(..)));
    assert!(matches!(bad(&|l| l.uplinks_kb[0] = 0.0), BadLayout::Size(..)));
    assert!(matches!(bad(&|l| l.serves[0][0].1 = -1.0), BadLayout::Size(..)));
    assert_eq!(bad(&|l| l.titles[2].cells = 0), BadLayout::NoHolder(2));
    assert_eq!(bad(&|l| l.fronts = vec![0; MOST_FRONTS + 1]), BadLayout::TooMany("fronts", MOST_FRONTS));
}

#[test]
fn new_servers_come_first_and_those_that_go_last() {
    let from = layout(6, 6, 3, 50_000.0);
    let mut to = from.clone();
    to.servers[5].server = 100;
    to.servers[2].weight = 2.0;
    assert_eq!(from.changed(&to), vec![100, 3, 6]);
}

/// A title moves from cells 0, 1 to cell 7, whose server is new: it takes its new place when that server is
/// there.
#[test]
fn a_title_moves_when_its_new_holders_are_there() {
    let from = layout(6, 6, 0, 0.0);
    let mut to = from.clone();
    to.servers.push(LaidServer { server: 50, cell: 7, ..from.servers[0].clone() });
    to.servers.retain(|s| s.server > 2);
    to.titles = vec![LaidTitle { title: 0, first_cell: 7, cells: 1 }];
    let way = between(&from, &to, &[1, 1, 1], 8);
    let holders: Vec<_> =
        way.iter().map(|l| l.holders(l.titles.iter().find(|t| t.title == 0).unwrap(), 8)).collect();
    assert_eq!(holders, vec![vec![50], vec![50], vec![50]]);
    assert_eq!(way[0].titles.len(), 6, "what is left out stays until the last wave");
    assert_eq!(way[2].titles.len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128, failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default()
    })]

    /// The way ends at its end, changes no more servers a wave than it says, and all of them once.
    #[test]
    fn the_way_ends_at_its_end(
        cells in prop::collection::vec(0..8u64, 10),
        gone in prop::collection::vec(any::<bool>(), 10),
        firsts in prop::collection::vec(0..8u64, 6),
        waves in prop::collection::vec(0..5usize, 1..8),
    ) {
        let from = layout(8, 6, 4, 50_000.0);
        let mut to = layout(10, 6, 4, 50_000.0);
        to.servers.iter_mut().zip(&cells).for_each(|(s, c)| s.cell = *c);
        let mut keep = gone.iter();
        to.servers.retain(|_| *keep.next().unwrap());
        to.titles.iter_mut().zip(&firsts).for_each(|(t, f)| t.first_cell = *f);
        let way = between(&from, &to, &waves, 8);
        prop_assert_eq!(way.len(), waves.len());
        let last = way.last().unwrap();
        prop_assert!(last.changed(&to).is_empty());
        prop_assert_eq!(&last.titles, &to.titles);
        let mut before = from.clone();
        let mut all = 0;
        for (i, l) in way.iter().enumerate() {
            let changed = before.changed(l).len();
            prop_assert!(changed <= waves[i] || i + 1 == way.len());
            all += changed;
            before = l.clone();
        }
        prop_assert_eq!(all, from.changed(&to).len());
    }
}
