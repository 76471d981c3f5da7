//! Fixed-seed fuzzing: nothing a peer sends may panic, and what is read can be written and read again.

use cloverhollow_hints::cmcd::{read_reports, Record};
use cloverhollow_hints::cmsd::{read_dynamic, read_static};
use cloverhollow_hints::{reconcile, Faults, Group};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner() -> TestRunner {
    let config = Config { cases: 4000, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

/// Texts near to the grammar: keys, marks and figures in any order.
fn near() -> impl Strategy<Value = String> {
    let piece = prop_oneof![
        Just("br=".to_string()),
        Just("sid=\"".to_string()),
        Just("com.x-y".to_string()),
        Just("(".to_string()),
        Just(")".to_string()),
        Just(",".to_string()),
        Just("\"".to_string()),
        Just("\\".to_string()),
        Just(";etp=".to_string()),
        Just("=".to_string()),
        Just("su".to_string()),
        "[0-9]{1,24}".prop_map(|s| s),
        "\\PC{0,6}".prop_map(|s| s),
    ];
    proptest::collection::vec(piece, 0..24).prop_map(|v| v.concat())
}

#[test]
fn any_text_is_read_without_a_panic_and_what_is_written_reads_back() {
    runner()
        .run(&near(), |text| {
            let mut f = Faults::default();
            let mut r = Record::default();
            r.read_query(&text, &mut f);
            let mut g = Faults::default();
            let mut again = Record::default();
            again.read_query(&r.to_line(), &mut g);
            prop_assert_eq!(g.total(), 0, "{}", r.to_line());
            prop_assert_eq!(again.to_line(), r.to_line());
            for group in Group::ALL {
                Record::default().read_header(group, &text, &mut f);
            }
            read_reports(&text, &mut f);
            read_dynamic(&text, &mut f);
            let s = read_static(&text, &mut f);
            let mut h = Faults::default();
            prop_assert_eq!(read_static(&s.serialize(), &mut h).serialize(), s.serialize());
            let (once, _) = reconcile(r, again);
            let (twice, none) = reconcile(once.clone(), Record::default());
            prop_assert_eq!(once, twice, "one reading has no contradiction left: {:?}", none);
            Ok(())
        })
        .unwrap();
}
