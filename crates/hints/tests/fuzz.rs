//! Fixed-seed property tests: no input causes a panic, and what is parsed round-trips through its text.

use cloverhollow_hints::cmcd::{read_reports, Record};
use cloverhollow_hints::cmsd::{read_dynamic, read_static};
use cloverhollow_hints::{reconcile, Faults, Group};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner() -> TestRunner {
    let config = Config { cases: 4000, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

/// Texts close to the grammar: keys, punctuation and numbers in any order.
fn grammar_like_text() -> impl Strategy<Value = String> {
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
fn any_text_parses_without_panic_and_round_trips() {
    runner()
        .run(&grammar_like_text(), |text| {
            let mut faults = Faults::default();
            let mut record = Record::default();
            record.read_query(&text, &mut faults);
            let mut again_faults = Faults::default();
            let mut again = Record::default();
            again.read_query(&record.to_line(), &mut again_faults);
            prop_assert_eq!(again_faults.total(), 0, "{}", record.to_line());
            prop_assert_eq!(again.to_line(), record.to_line());
            for group in Group::ALL {
                Record::default().read_header(group, &text, &mut faults);
            }
            read_reports(&text, &mut faults);
            read_dynamic(&text, &mut faults);
            let parsed = read_static(&text, &mut faults);
            let mut static_faults = Faults::default();
            prop_assert_eq!(
                read_static(&parsed.serialize(), &mut static_faults).serialize(),
                parsed.serialize()
            );
            let (once, _) = reconcile(record, again);
            let (twice, contradictions) = reconcile(once.clone(), Record::default());
            prop_assert_eq!(once, twice, "contradictions left after reconciling: {:?}", contradictions);
            Ok(())
        })
        .unwrap();
}
