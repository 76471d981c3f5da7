//! `NODE_CONFIG` and its settings: each field is applied, or rejected by name with the allowed values.

mod fixtures;

use cloverhollow_platform::config;
use fixtures::*;
use serde_json::json;
use std::time::Duration;

#[test]
fn every_field_is_applied() {
    let s = site(full()).unwrap();
    let ms = Duration::from_millis;
    assert_eq!((s.connect_timeout, s.idle_close, s.peer_datagrams), (ms(250), ms(15_000), true));
    assert_eq!(s.deadlines, [ms(3_000), ms(2_500)]);
    assert_eq!(
        (s.names.classes.join(" "), s.names.tenants.join(" ")),
        ("paid clip".into(), "acme other".into())
    );
    assert_eq!((s.names.kinds.join(" "), &*s.names.zone), ("std big".into(), "east"));
    assert!(s.unknown_effects.is_empty());
    let s = s.settings;
    assert_eq!((s.front_count, s.front_index, s.over_quota_worth), (300, Some(7), 0.4));
    assert_eq!(
        (s.link_unit_kb_per_s, s.sized_by_weight, s.rack_uplink_kb_per_s, s.cell_count, s.rack_count),
        (4_000.0, false, 9_000.0, 24, 6)
    );
    assert_eq!(
        (s.join_cost_fraction, s.report_delay, s.report_interval, s.list_pushed),
        (0.2, ms(500), ms(2_000), true)
    );
    assert_eq!((s.limits.max_attempts, s.limits.max_retry_after), (3, ms(700)));
    assert_eq!(s.max_streams_by_kind, [20.0, 40.0]);
    assert_eq!(s.tenants.iter().map(|t| t.quota_per_s).collect::<Vec<_>>(), [12.5, 0.0]);
    assert_eq!(
        s.ladder.iter().map(|r| (r.rate_kb_per_s, r.worth)).collect::<Vec<_>>(),
        [(200.0, 0.2), (800.0, 0.6), (800.0, 1.0)]
    );
    let (paid, clip) = (&s.classes[0], &s.classes[1]);
    assert_eq!(
        (paid.target_setup_time, paid.at_most_once, paid.worth, paid.rate_scale),
        (ms(1_000), true, 3.0, 1.0)
    );
    assert_eq!((paid.min_rung, paid.max_rung, paid.live, paid.max_sessions_per_title), (1, 2, true, 4));
    assert_eq!(
        (clip.target_setup_time, clip.at_most_once, clip.worth, clip.rate_scale),
        (ms(800), false, 0.5, 0.5)
    );
    assert_eq!((clip.min_rung, clip.max_rung, clip.live, clip.max_sessions_per_title), (0, 9, false, 0));
    let rules = s.rules;
    assert_eq!(
        (
            rules.warm_up,
            rules.cold_capacity_fraction,
            rules.overload_multiple,
            rules.overload_window,
            rules.list_refresh_interval
        ),
        (ms(10_000), 0.2, 2.0, ms(1_000), ms(1_000))
    );
    let budget = rules.retry_budget.unwrap();
    assert_eq!((budget.base, budget.per_request, budget.window), (3.0, 0.1, ms(10_000)));
}

#[test]
fn optional_fields_have_defaults() {
    let ms = Duration::from_millis;
    let s = site(json!({"grades": [{"name": "clip", "effect": "idempotent", "deadline": 2000}],
        "domain": {"level-kb": [200.0]}}));
    let s = s.unwrap();
    // Guards against zeros where fields are absent: connects timed out at once, no attempt was allowed, and attempts
    // ended as soon as they began.
    assert_eq!((s.connect_timeout, s.settings.limits.max_attempts), (ms(1_000), 1));
    assert_eq!(s.settings.classes[0].target_setup_time, ms(2_000), "the deadline is the target");
    assert_eq!(
        (s.settings.classes[0].rate_scale, s.settings.classes[0].max_rung, s.settings.join_cost_fraction),
        (1.0, 0, 1.0)
    );
    assert!(s.settings.rules.retry_budget.is_none() && s.settings.front_index.is_none());
    let s = site(json!({"grades": [{"name": "clip"}], "domain": {"level-kb": [200.0]},
        "limits": {"connect-timeout": 0, "most-tries": 40}}));
    let s = s.unwrap();
    assert_eq!((s.connect_timeout, s.settings.limits.max_attempts), (ms(1_000), 16));
    assert!(s.settings.classes[0].target_setup_time >= ms(3_600_000), "neither target nor deadline");
}

/// The platform may add effects: a class with an unknown one is treated as at-most-once, and is reported.
#[test]
fn an_unknown_effect_is_treated_as_at_most_once_and_reported() {
    let mut settings = full();
    settings["grades"][1]["effect"] = json!("keyed");
    let s = site(settings).unwrap();
    assert!(s.settings.classes[1].at_most_once);
    assert_eq!(s.unknown_effects, [("clip".to_owned(), "keyed".to_owned())]);
}

#[test]
fn an_invalid_number_is_rejected_by_name_with_its_range() {
    let numbers = [
        ("/balancers", "`balancers`"),
        ("/index", "`index`"),
        ("/over-share-worth", "`over-share-worth`"),
        ("/tenants/1/quota-per-s", "`tenants[1].quota-per-s`"),
        ("/grades/0/aim", "`grades[0].aim`"),
        ("/grades/0/deadline", "`grades[0].deadline`"),
        ("/grades/0/importance", "`grades[0].importance`"),
        ("/domain/class-top/1", "`domain.class-top[1]`"),
        ("/domain/floor-by-class/0", "`domain.floor-by-class[0]`"),
        ("/domain/scale-by-class/0", "`domain.scale-by-class[0]`"),
        ("/domain/seats/0", "`domain.seats[0]`"),
        ("/domain/join", "`domain.join`"),
        ("/domain/ladder-worth/2", "`domain.ladder-worth[2]`"),
        ("/domain/level-kb/0", "`domain.level-kb[0]`"),
        ("/domain/link-unit-kb", "`domain.link-unit-kb`"),
        ("/domain/rack-link-kb", "`domain.rack-link-kb`"),
        ("/domain/places", "`domain.places`"),
        ("/domain/shelves", "`domain.shelves`"),
        ("/domain/places-by-kind/1", "`domain.places-by-kind[1]`"),
        ("/domain/told-every", "`domain.told-every`"),
        ("/domain/told-late", "`domain.told-late`"),
        ("/invariants/ask-within", "`invariants.ask-within`"),
        ("/invariants/budget-free", "`invariants.budget-free`"),
        ("/invariants/budget-span", "`invariants.budget-span`"),
        ("/invariants/cold", "`invariants.cold`"),
        ("/invariants/cold-from", "`invariants.cold-from`"),
        ("/invariants/extra-share", "`invariants.extra-share`"),
        ("/invariants/fall", "`invariants.fall`"),
        ("/invariants/fall-multiple", "`invariants.fall-multiple`"),
        ("/limits/connect-timeout", "`limits.connect-timeout`"),
        ("/limits/idle-close", "`limits.idle-close`"),
        ("/limits/max-retry-after", "`limits.max-retry-after`"),
        ("/limits/most-tries", "`limits.most-tries`"),
    ];
    for (path, field) in numbers {
        for bad in [json!("x"), json!([1]), json!(true), json!(-1), json!(1e13), json!(1e300)] {
            let error = rejection(config_file(full()), &format!("/settings{path}"), bad.clone());
            assert!(error.starts_with(&format!("settings: {field}: ")), "{path} {bad}: {error}");
            if bad.is_number() {
                assert!(error.contains(" is not ") && error.contains('1'), "no range: {error}");
            }
        }
    }
    // Values that are not JSON numbers.
    for bad in ["NaN", "1e999", "-Infinity"] {
        let text = config_file(full()).to_string().replace("\"index\":7", &format!("\"index\":{bad}"));
        let error = config::read(&text).unwrap_err().to_string();
        assert!(error.starts_with("settings"), "{bad}: {error}");
    }
}
