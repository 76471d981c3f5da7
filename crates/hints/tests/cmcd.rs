//! CMCD against the examples and the key table of CTA-5004, and the handling of unusable hints.

use cloverhollow_hints::cmcd::*;
use cloverhollow_hints::{reconcile, Contradiction, Fault, Faults, Group, Key};

fn parse_query(text: &str) -> (Record, Faults) {
    let (mut record, mut faults) = (Record::default(), Faults::default());
    record.read_query(text, &mut faults);
    (record, faults)
}

fn parse_header(group: Group, text: &str) -> (Record, Faults) {
    let (mut record, mut faults) = (Record::default(), Faults::default());
    record.read_header(group, text, &mut faults);
    (record, faults)
}

#[test]
fn example_headers_of_the_standard_are_parsed() {
    let (mut record, mut faults) = (Record::default(), Faults::default());
    record.read_header(
        Group::Request,
        "bl=21300,dl=18500,mtp=25400,nor=\"../300kbps/track.m4v\",nrr=\"12323-48763\",su",
        &mut faults,
    );
    record.read_header(Group::Object, "br=3200,d=4004,ot=v,tb=6000", &mut faults);
    record.read_header(Group::Status, "bs,rtp=15000", &mut faults);
    record.read_header(
        Group::Session,
        "cid=\"faec5fc2-ac30-11ea\",pr=1.08,sf=d,sid=\"6e2fb550-c457-11e9\",st=v",
        &mut faults,
    );
    assert_eq!(faults.total(), 0, "{faults}");
    assert_eq!((record.bl, record.dl), (Some(Millis(21300)), Some(Millis(18500))));
    assert_eq!((record.mtp, record.br, record.tb), (Some(Kbps(25400)), Some(Kbps(3200)), Some(Kbps(6000))));
    assert_eq!((record.rtp, record.pr, record.d), (Some(Kbps(15000)), Some(1.08), Some(Millis(4004))));
    assert_eq!(record.nor.as_deref(), Some("../300kbps/track.m4v"));
    assert_eq!(record.nrr.as_deref(), Some("12323-48763"));
    assert_eq!(
        (record.ot, record.sf, record.st),
        (Some(ObjectType::Video), Some(Format::Dash), Some(StreamType::OnDemand))
    );
    assert!(record.su && record.bs);
    assert_eq!(record.sid.as_deref(), Some("6e2fb550-c457-11e9"));
}

#[test]
fn records_round_trip_as_query_and_as_headers() {
    let record = Record {
        br: Some(Kbps(3200)),
        bl: Some(Millis(2100)),
        cid: Some("a \"quoted\" \\ id".into()),
        sid: Some("s-1".into()),
        sta: Some(PlayState::Rebuffering),
        e: Some(EventKind::PlayState),
        sn: Some(7),
        ts: Some(1_700_000_000_123),
        rc: Some(404),
        msd: Some(Millis(420)),
        ltc: Some(Millis(1999)),
        v: Some(2),
        su: true,
        custom: vec![CustomKey {
            key: "com.example-a".into(),
            value: CustomValue::Quoted("x,y=\"z\"".into()),
        }],
        ..Record::default()
    };
    let (back, faults) = parse_query(&record.to_line());
    assert_eq!((back, faults.total()), (record.clone(), 0), "{}", record.to_line());
    let (mut back, mut faults) = (Record::default(), Faults::default());
    Group::ALL.iter().for_each(|g| back.read_header(*g, &record.to_header(*g), &mut faults));
    assert_eq!((back, faults.total()), (record, 0));
}

#[test]
fn numbers_are_rounded_as_the_key_table_requires() {
    let record = Record {
        bl: Some(Millis(2149)),
        dl: Some(Millis(2150)),
        mtp: Some(Kbps(49)),
        rtp: Some(Kbps(151)),
        br: Some(Kbps(151)),
        ..Record::default()
    };
    assert_eq!(record.to_line(), "bl=2100,br=151,dl=2200,mtp=0,rtp=200");
    // Defaults are omitted: rate 1, version 1, false flags.
    assert_eq!(Record { pr: Some(1.0), v: Some(1), ..Record::default() }.to_line(), "");
}

#[test]
fn each_key_is_accepted_only_in_the_header_of_its_group() {
    for key in Key::ALL {
        for group in Group::ALL {
            let value = match key.name() {
                "bs" | "su" => String::new(),
                "cid" | "sid" | "nor" => "=\"x\"".into(),
                "nrr" => "=\"1-2\"".into(),
                "ot" => "=v".into(),
                "sf" => "=h".into(),
                "st" => "=l".into(),
                "sta" => "=p".into(),
                "e" => "=ps".into(),
                _ => "=7".into(),
            };
            let (record, faults) = parse_header(group, &format!("{}{value}", key.name()));
            assert_eq!(
                faults.count(Fault::WrongGroup),
                u16::from(group != key.group()),
                "{key:?} in {group:?}"
            );
            assert_eq!(record.is_empty(), group != key.group(), "{key:?} in {group:?}");
        }
    }
}

#[test]
fn unusable_hint_is_dropped_alone_and_counted() {
    let cases = [
        ("br=abc", Fault::WrongType),
        ("br=-5", Fault::WrongType),
        ("br=1.5", Fault::WrongType),
        ("br=99999999999", Fault::OutOfRange),
        ("br=99999999999999999999999999", Fault::OutOfRange),
        ("br", Fault::WrongType),
        ("br=\"3\"", Fault::WrongType),
        ("cid=unquoted", Fault::WrongType),
        ("cid=\"\"", Fault::OutOfRange),
        ("cid=\"bad\\escape\"", Fault::WrongType),
        ("ot=zz", Fault::OutOfRange),
        ("su=maybe", Fault::WrongType),
        ("pr=fast", Fault::WrongType),
        ("pr=-1", Fault::OutOfRange),
        ("nrr=\"12\"", Fault::WrongType),
        ("nrr=\"-\"", Fault::WrongType),
        ("xyz=1", Fault::UnknownKey),
        ("-x=1", Fault::UnknownKey),
        ("=5", Fault::Malformed),
        ("mtp=", Fault::Malformed),
        ("cid=\"a\"b", Fault::Malformed),
    ];
    for (text, fault) in cases {
        let (record, faults) = parse_query(&format!("d=2000,{text},bs"));
        assert_eq!((faults.count(fault), faults.total()), (1, 1), "{text}: {faults}");
        assert_eq!((record.d, record.bs), (Some(Millis(2000)), true), "{text}: the adjacent hints are used");
    }
    let long = "x".repeat(65);
    assert_eq!(parse_query(&format!("sid=\"{long}\"")).1.count(Fault::TooLong), 1);
    assert_eq!(parse_query("br=1,br=2").0.br, Some(Kbps(1)), "the first occurrence is used");
    assert_eq!(parse_query("cid=\"never closed,br=5").1.count(Fault::Malformed), 1);
}

#[test]
fn custom_keys_are_retained_up_to_the_limit() {
    let (record, faults) =
        parse_query("com.example-myNumericKey=500,com.example-flag,com.example-s=\"a\\\"b\"");
    assert_eq!((record.custom.len(), faults.total()), (3, 0));
    assert_eq!(record.custom[2].value, CustomValue::Quoted("a\"b".into()));
    let many: Vec<_> = (0..40).map(|i| format!("a-{i}=1")).collect();
    let (record, faults) = parse_query(&many.join(","));
    assert_eq!(
        (record.custom.len(), faults.count(Fault::LimitExceeded)),
        (MAX_CUSTOM_KEYS, 40 - MAX_CUSTOM_KEYS as u16)
    );
}

#[test]
fn version_two_lists_are_folded_by_the_rule_of_their_key() {
    let (record, faults) = parse_query("br=(3000;v 128;a),bl=(4000;v 1500;a),mtp=(100 900),v=2");
    assert_eq!(faults.total(), 0, "{faults}");
    assert_eq!((record.br, record.bl, record.mtp), (Some(Kbps(3128)), Some(Millis(1500)), Some(Kbps(900))));
    assert_eq!(parse_query("br=()").1.count(Fault::OutOfRange), 1);
    assert_eq!(parse_query("br=(1").1.count(Fault::Malformed), 1);
}

#[test]
fn report_body_is_parsed_line_by_line_up_to_the_limit() {
    let mut faults = Faults::default();
    let body = "e=ps,sid=\"a\",sn=1,sta=s,ts=1,v=2\r\ne=ps,msd=400,sid=\"a\",sn=2,sta=p,ts=2,v=2\n\n\
                e=rr,rc=503,sid=\"a\",sn=3,ts=3,v=2\ne=ps,sid=\"a\",sn=4,sta=q,ts=4,v=2\n";
    let all = read_reports(body, &mut faults);
    assert_eq!(faults.total(), 0, "{faults}");
    let states: Vec<_> = all.iter().map(|record| record.sta).collect();
    assert_eq!(states, [Some(PlayState::Starting), Some(PlayState::Playing), None, Some(PlayState::Quit)]);
    assert_eq!((all[1].msd, all[2].rc, all[2].e), (Some(Millis(400)), Some(503), Some(EventKind::Response)));
    assert!(all[3].sta.unwrap().has_ended());
    let flood = "bs\n".repeat(MAX_REPORTS + 3);
    assert_eq!(read_reports(&flood, &mut faults).len(), MAX_REPORTS);
    assert_eq!(faults.count(Fault::LimitExceeded), 3);
}

#[test]
fn contradictions_are_resolved_and_reported() {
    let reconcile_texts =
        |headers: &str, query: &str| reconcile(parse_query(headers).0, parse_query(query).0);
    let (record, contradictions) = reconcile_texts("br=3000,tb=2000", "");
    assert_eq!((record.br, record.tb), (Some(Kbps(3000)), None));
    assert!(contradictions.contains(Contradiction::BitrateAboveTop));
    let (record, contradictions) = reconcile_texts("br=3000", "br=1000,cid=\"x\"");
    assert_eq!(
        (record.br, record.cid.as_deref()),
        (Some(Kbps(3000)), Some("x")),
        "the header wins, the other keys come from the query"
    );
    assert!(contradictions.contains(Contradiction::HeaderAgainstQuery));
    let (record, contradictions) = reconcile_texts("su,bl=4000,d=2000", "");
    assert!(!record.su && contradictions.contains(Contradiction::StartupWithBuffer));
    let (record, contradictions) = reconcile_texts("su,bl=400,d=2000", "");
    assert!(
        record.su && contradictions.is_empty(),
        "startup with less than one object buffered is no contradiction"
    );
    let (record, contradictions) = reconcile_texts("bs,bl=4000,d=2000", "");
    assert!(!record.bs && contradictions.contains(Contradiction::StarvedWithBuffer));
    let (record, contradictions) = reconcile_texts("su,sta=q", "");
    assert!(record.sta.is_none() && contradictions.contains(Contradiction::EndedButUrgent));
    let (_, contradictions) = reconcile_texts("br=3000", "br=3000");
    assert!(contradictions.is_empty(), "equal values are no contradiction");
}
