//! `NODE_CONFIG` as a whole: contradicting fields, and the first error that is reported.

mod fixtures;

use cloverhollow_platform::{config, settings};
use fixtures::*;
use serde_json::json;

#[test]
fn contradicting_fields_are_rejected_by_name() {
    let one_too_few = json!([1]);
    let wrong_length = |of| format!("1 entries are neither none nor one for each of {of}");
    let cases = [
        ("/domain/class-live", json!([true]), "domain.class-live", wrong_length("2 in `grades`")),
        ("/domain/class-top", one_too_few.clone(), "domain.class-top", wrong_length("2 in `grades`")),
        (
            "/domain/floor-by-class",
            one_too_few.clone(),
            "domain.floor-by-class",
            wrong_length("2 in `grades`"),
        ),
        (
            "/domain/scale-by-class",
            one_too_few.clone(),
            "domain.scale-by-class",
            wrong_length("2 in `grades`"),
        ),
        ("/domain/seats", one_too_few.clone(), "domain.seats", wrong_length("2 in `grades`")),
        (
            "/domain/ladder-worth",
            one_too_few.clone(),
            "domain.ladder-worth",
            wrong_length("3 in `domain.level-kb`"),
        ),
        ("/domain/places-by-kind", one_too_few, "domain.places-by-kind", wrong_length("2 in `kinds`")),
        (
            "/domain/level-kb",
            json!([800, 200, 900]),
            "domain.level-kb[1]",
            "200 is below the one before".into(),
        ),
        ("/domain/level-kb/0", json!(0), "domain.level-kb[0]", "0 is not above 0 and at most 1e12".into()),
        ("/domain/scale-by-class/1", json!(0), "domain.scale-by-class[1]", "0 is not above 0".into()),
        ("/domain/floor-by-class/1", json!(3), "domain.floor-by-class[1]", "3 is not 0 to 2".into()),
        ("/domain/class-top/0", json!(0), "domain.floor-by-class[0]", "1 is not 0 to 0".into()),
        ("/domain/seats/0", json!(0.5), "domain.seats[0]", "0.5 is not a whole number".into()),
        ("/domain/join", json!(1.5), "domain.join", "1.5 is not 0 to 1".into()),
        ("/invariants/cold-from", json!(1.5), "invariants.cold-from", "1.5 is not 0 to 1".into()),
        ("/invariants/budget-span", json!(0), "invariants.budget-span", "0 is not above 0 ms".into()),
        ("/invariants/budget-span", json!(null), "invariants.budget-span", "needed if".into()),
        ("/limits/most-tries", json!(0), "limits.most-tries", "0 is not a whole number from 1".into()),
        ("/limits/retry-after", json!(1), "limits.retry-after", "invalid type".into()),
        ("/limits/peers", json!("yes"), "limits.peers", "invalid type".into()),
        ("/grades/1/name", json!("paid"), "grades[1].name", "a unique name is needed".into()),
        ("/grades/0/name", json!(""), "grades[0].name", "a unique name is needed".into()),
        ("/grades/0/effect", json!(1), "grades[0].effect", "invalid type".into()),
        ("/tenants/1/name", json!("acme"), "tenants[1].name", "a unique name is needed".into()),
        ("/kinds/1", json!("std"), "kinds[1]", "a unique name is needed".into()),
        ("/zone", json!(3), "zone", "invalid type".into()),
    ];
    for (path, value, field, problem) in cases {
        let error = rejection(config_file(full()), &format!("/settings{path}"), value.clone());
        assert!(error.starts_with(&format!("settings: `{field}`: {problem}")), "{path} {value}: {error}");
    }
    let error = site(json!({"grades": [], "domain": {"level-kb": [200]}})).unwrap_err();
    assert!(error.starts_with("settings: at least one of `grades`"), "{error}");
    assert!(settings::read(json!([])).is_err() && settings::read(json!(null)).is_err());
}

#[test]
fn a_configuration_is_parsed_or_its_first_error_reported() {
    let c = read(&config_file(full())).unwrap();
    assert_eq!((c.seed, c.limits.sockets, c.initial_updates.len()), (0x8c1f_30d2_7a5b_e964, 4096, 1));
    let cases = [
        ("/name", json!(7), "name: "),
        ("/listen", json!("here"), "listen: "),
        ("/seed", json!("xyz"), "seed: `xyz` is not 1 to 16 hex digits"),
        ("/seed", json!("+1f"), "seed: `+1f` is not 1 to 16 hex digits"),
        ("/seed", json!(""), "seed: `` is not 1 to 16 hex digits"),
        ("/seed", json!("8c1f30d27a5be9641"), "seed: `8c1f30d27a5be9641` is not 1 to 16 hex digits"),
        ("/limits/sockets", json!(3), "limits.sockets: 3 is not 64 or more"),
        ("/limits/sockets", json!(-3), "limits.sockets: "),
        ("/channel", json!(7), "channel: "),
        ("/peers", json!(["10.0.0.4"]), "peers[0]: "),
        ("/peer_listen", json!(1), "peer_listen: "),
        ("/settings", json!([]), "settings: "),
        ("/settings/domain/level-kb", json!("x"), "settings: `domain.level-kb`: "),
        ("/known/cmds", json!(1), "known: "),
        ("/known/cmds/0/nodes/endpoints/0/weight", json!(0), "known: event 1: the weight of server `a`"),
        ("/known/cmds/0/nodes/endpoints/0/status", json!("?"), "known: "),
        ("/known/cmds/1", json!({"cursor": 3}), "known: event 3 after 1"),
    ];
    for (path, value, expected) in cases {
        let mut file = config_file(full());
        if path == "/known/cmds/1" {
            file["known"]["cmds"].as_array_mut().unwrap().push(json!(null));
        }
        let error = rejection(file, path, value);
        assert!(error.starts_with(expected), "{path}: {error}");
    }
    for absent in ["name", "listen", "seed", "limits", "channel", "known", "settings"] {
        let mut file = config_file(full());
        file.as_object_mut().unwrap().remove(absent);
        let error = read(&file).unwrap_err();
        assert!(error.contains(&format!("missing field `{absent}`")), "{error}");
    }
    let twice = format!("{} {{}}", config_file(full()));
    for text in [&twice, "", "{", "[]", "null", "7", "{\"name\":\"n3\"} more"] {
        assert!(config::read(text).unwrap_err().to_string().starts_with("file: "), "{text}");
    }
}
