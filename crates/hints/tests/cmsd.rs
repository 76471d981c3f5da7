//! CMSD against the examples of CTA-5006.

use cloverhollow_hints::cmsd::*;
use cloverhollow_hints::{Fault, Faults};

#[test]
fn example_path_of_the_standard_is_parsed_in_order() {
    let mut faults = Faults::default();
    let hops =
        read_dynamic("\"CDNB-3ak1\";etp=96;rtt=8, \"CDNB-w35k\";etp=76;rtt=32;mb=5000;rd=12;du", &mut faults);
    assert_eq!(faults.total(), 0, "{faults}");
    assert_eq!(hops.len(), 2);
    assert_eq!(
        (hops[0].name.as_str(), hops[0].throughput_kbps, hops[0].rtt_ms),
        ("CDNB-3ak1", Some(96), Some(8))
    );
    assert_eq!(
        (hops[1].max_bitrate_kbps, hops[1].response_delay_ms, hops[1].duress),
        (Some(5000), Some(12), true)
    );
}

#[test]
fn appended_hop_is_last_and_round_trips() {
    let added = Hop {
        name: "front-1".into(),
        duress: true,
        throughput_kbps: Some(900),
        max_bitrate_kbps: Some(2000),
        response_delay_ms: Some(3),
        rtt_ms: Some(1),
        streams: Some(41),
        link_utilization: Some(1.25),
        rack_utilization: Some(0.5),
        not_executed: true,
        reason: Some("full".into()),
        rung: Some(2),
    };
    let text = added.append_to("\"origin\";etp=5");
    let mut faults = Faults::default();
    let hops = read_dynamic(&text, &mut faults);
    assert_eq!((hops.len(), faults.total()), (2, 0), "{text}");
    assert_eq!((hops[0].name.as_str(), &hops[1]), ("origin", &added));
    assert_eq!(added.append_to("  "), added.serialize());
}

#[test]
fn unusable_members_are_dropped_and_counted() {
    let mut faults = Faults::default();
    let hops = read_dynamic(
        "7;etp=1, (1 2), \"a\";etp=x;rtt=-4;com.cloverhollow-link=\"z\", \"b\";etp=2",
        &mut faults,
    );
    assert_eq!(hops.iter().map(|h| h.name.as_str()).collect::<Vec<_>>(), ["a", "b"]);
    assert_eq!((hops[0].throughput_kbps, hops[1].throughput_kbps), (None, Some(2)));
    assert_eq!((faults.count(Fault::WrongType), faults.count(Fault::OutOfRange)), (4, 1), "{faults}");
    for malformed in ["\"a\";etp=1,", "\"a", "\u{e9}", "a b"] {
        let mut faults = Faults::default();
        assert!(read_dynamic(malformed, &mut faults).is_empty(), "{malformed}");
        assert_eq!(faults.count(Fault::Malformed), 1, "{malformed}");
    }
    let mut faults = Faults::default();
    assert_eq!(read_dynamic(&vec!["\"h\""; 40].join(", "), &mut faults).len(), MAX_HOPS);
    assert!(read_dynamic(&"\"h\", ".repeat(3000), &mut faults).is_empty());
    assert_eq!(faults.count(Fault::LimitExceeded), 2);
}

#[test]
fn static_header_round_trips_with_unknown_keys() {
    let text = "at=1600000000000, br=2000, d=5000, n=\"OriginProviderA\", ot=v, sf=h, st=v, su, com.example-x=(1 2);p";
    let mut faults = Faults::default();
    let s = read_static(text, &mut faults);
    assert_eq!(faults.total(), 0, "{faults}");
    assert_eq!(
        (s.bitrate_kbps, s.duration_ms, s.available_at_ms),
        (Some(2000), Some(5000), Some(1_600_000_000_000))
    );
    assert_eq!(
        (s.name.as_deref(), s.object_type.as_deref(), s.startup),
        (Some("OriginProviderA"), Some("v"), true)
    );
    assert_eq!(s.other_keys.len(), 1);
    let mut faults = Faults::default();
    assert_eq!(read_static(&s.serialize(), &mut faults), s);
    assert_eq!(faults.total(), 0, "{faults}");
    assert_eq!(read_static("br=x, d=-1, n=5", &mut faults), Static::default());
    assert_eq!((faults.count(Fault::WrongType), faults.count(Fault::OutOfRange)), (2, 1), "{faults}");
}
