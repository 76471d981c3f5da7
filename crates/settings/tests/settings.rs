//! Parsing of settings: defaults, errors with file, line, field and range, and path patterns.

use cloverhollow_settings::*;

fn error_text(text: &str) -> String {
    FrontSettings::parse("a.yaml", text).expect_err(text).to_string()
}

#[test]
fn empty_file_gives_defaults_that_pass_the_checks() {
    let settings = FrontSettings::parse("a.yaml", "{}").unwrap();
    let policy = settings.decisions();
    assert_eq!(
        (policy.front_count, policy.classes.len(), policy.ladder.len(), policy.limits.max_attempts),
        (1, 1, 4, 3)
    );
    assert_eq!((policy.classes[0].min_rung, policy.classes[0].max_rung), (0, 3));
    assert!(policy.list_pushed);
}

#[test]
fn errors_name_file_line_field_and_range() {
    let cases = [
        ("instance:\n  fronts: 0\n", "a.yaml:2: instance.fronts: 0 is not in 1..=10000"),
        ("instance:\n  name: front-9\n  fronts: -3\n", "a.yaml:3: instance.fronts: -3 is not in 1..=10000"),
        ("listen:\n  head_ms: 3\n", "a.yaml:2: listen.head_ms: 3 ms is not in 10..=60000 ms"),
        ("rules:\n  cold_from: 1.5\n", "a.yaml:2: rules.cold_from: 1.5 is not in 0.001..=1"),
        ("instance:\n  name: \"a b\"\n", "a.yaml:2: instance.name: `a b` is not a name"),
        (
            "classes:\n- name: a\n  aim_ms: 10\n  deadline_ms: 900\n  top: 9\n",
            "a.yaml:5: classes[0].top: 9 is not in 0..=3",
        ),
        ("fleet:\n  cells: 4\n  copies: 7\n", "a.yaml:3: fleet.copies: 7 is not in 1..=4"),
        ("mapping:\n  path: /{class}/x\n", "a.yaml:2: mapping.path: `{title}` is missing"),
        ("mapping:\n  path: /{object}/{title}\n", "it must come last"),
        ("listen:\n  adress: 1\n", "a.yaml:2: listen.adress: "),
        ("listen:\n  address: nowhere\n", "a.yaml:2: listen.address: "),
        (
            "ladder:\n- {rate_kb: 5, worth: 1}\n- {rate_kb: 5, worth: 1}\n",
            "ladder[1].rate_kb: rates must rise",
        ),
        ("ladder: []\n", "ladder: 0 rungs are not in 1..=64"),
        ("classes: []\n", "classes: 0 classes are not in 1..=64"),
        ("members:\n  listen: 127.0.0.1:0\n", "members.keys: 0 keys are not in 1..=16"),
        ("members:\n  lease_ms: 20\n", "a.yaml:2: members.lease_ms: 20 ms is not in 200..=3600000 ms"),
        ("members: {answer_ms: 300}\n", "members.answer_ms: greater than half of members.probe_ms"),
        (
            "members: {witnesses: [127.0.0.1:1, 127.0.0.1:1]}\n",
            "members.witnesses[1]: 127.0.0.1:1 occurs twice",
        ),
        ("out:\n  fleet: 21\n", "a.yaml:2: out.fleet: 21 is not in 0..=20"),
        ("out:\n  hall: 0\n", "a.yaml:2: out.hall: 0 is not in 1..=20"),
        ("out:\n  lease_ms: 20\n", "a.yaml:2: out.lease_ms: 20 ms is not in 1000..=3600000 ms"),
        ("out:\n  fleet: 1\n", "a.yaml:2: out.fleet: needs members.listen and members.witnesses"),
        (
            "members: {listen: 127.0.0.1:1, keys: [{id: 1, file: k}]}\nout: {fleet: 1}\n",
            "a.yaml:2: out.fleet: needs members.listen and members.witnesses",
        ),
        ("listen: [\n", "a.yaml:"),
        ("side: {}\nside: {}\n", "a.yaml:2: file: duplicate mapping key: side"),
    ];
    for (text, expected) in cases {
        let error = error_text(text);
        assert!(error.contains(expected), "{text:?}\n  error    {error}\n  expected {expected}");
        assert!(error.starts_with("a.yaml:") && !error.contains('\n'), "{error}");
    }
}

#[test]
fn patterns_match_paths_by_their_placeholders() {
    let pattern = Pattern::parse("/v1/{tenant}/{class}/{any}/{title}/{object}").unwrap();
    let found = pattern.match_path("/v1/club/clip/x/t-1/a/b.m4s").unwrap();
    assert_eq!((found.tenant, found.class, found.title), (Some("club"), Some("clip"), Some("t-1")));
    assert!(pattern.match_path("/v2/club/clip/x/t-1/a").is_none());
    assert!(pattern.match_path("/v1/club/clip/x").is_none());
    assert!(pattern.match_path("/v1//clip/x/t-1/a").is_none());
    let without_rest = Pattern::parse("/{title}").unwrap();
    assert!(without_rest.match_path("/a").is_some() && without_rest.match_path("/a/b").is_none());
    assert!(Pattern::parse("/{title}/{title}").is_err());
}
