//! CMCD against the examples and the table of CTA-5004, and what unusable hints cost.

use cloverhollow_hints::cmcd::*;
use cloverhollow_hints::{reconcile, Contradiction, Fault, Faults, Group, Key};

fn query(text: &str) -> (Record, Faults) {
    let (mut r, mut f) = (Record::default(), Faults::default());
    r.read_query(text, &mut f);
    (r, f)
}

fn header(group: Group, text: &str) -> (Record, Faults) {
    let (mut r, mut f) = (Record::default(), Faults::default());
    r.read_header(group, text, &mut f);
    (r, f)
}

#[test]
fn all_four_headers_of_the_standards_example_are_read() {
    let (mut r, mut f) = (Record::default(), Faults::default());
    r.read_header(
        Group::Request,
        "bl=21300,dl=18500,mtp=25400,nor=\"../300kbps/track.m4v\",nrr=\"12323-48763\",su",
        &mut f,
    );
    r.read_header(Group::Object, "br=3200,d=4004,ot=v,tb=6000", &mut f);
    r.read_header(Group::Status, "bs,rtp=15000", &mut f);
    r.read_header(
        Group::Session,
        "cid=\"faec5fc2-ac30-11ea\",pr=1.08,sf=d,sid=\"6e2fb550-c457-11e9\",st=v",
        &mut f,
    );
    assert_eq!(f.total(), 0, "{f}");
    assert_eq!((r.bl, r.dl), (Some(Millis(21300)), Some(Millis(18500))));
    assert_eq!((r.mtp, r.br, r.tb), (Some(Kbps(25400)), Some(Kbps(3200)), Some(Kbps(6000))));
    assert_eq!((r.rtp, r.pr, r.d), (Some(Kbps(15000)), Some(1.08), Some(Millis(4004))));
    assert_eq!(r.nor.as_deref(), Some("../300kbps/track.m4v"));
    assert_eq!(r.nrr.as_deref(), Some("12323-48763"));
    assert_eq!((r.ot, r.sf, r.st), (Some(ObjectType::Video), Some(Format::Dash), Some(StreamType::OnDemand)));
    assert!(r.su && r.bs);
    assert_eq!(r.sid.as_deref(), Some("6e2fb550-c457-11e9"));
}

#[test]
fn what_is_written_reads_back_the_same_in_both_forms() {
    let r = Record {
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
    let (back, f) = query(&r.to_line());
    assert_eq!((back, f.total()), (r.clone(), 0), "{}", r.to_line());
    let (mut back, mut f) = (Record::default(), Faults::default());
    Group::ALL.iter().for_each(|g| back.read_header(*g, &r.to_header(*g), &mut f));
    assert_eq!((back, f.total()), (r, 0));
}

#[test]
fn figures_are_rounded_as_the_table_asks() {
    let r = Record {
        bl: Some(Millis(2149)),
        dl: Some(Millis(2150)),
        mtp: Some(Kbps(49)),
        rtp: Some(Kbps(151)),
        br: Some(Kbps(151)),
        ..Record::default()
    };
    assert_eq!(r.to_line(), "bl=2100,br=151,dl=2200,mtp=0,rtp=200");
    // Defaults are left out: rate 1, version 1, flags that do not hold.
    assert_eq!(Record { pr: Some(1.0), v: Some(1), ..Record::default() }.to_line(), "");
}

#[test]
fn every_key_belongs_to_its_own_header_alone() {
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
            let (r, f) = header(group, &format!("{}{value}", key.name()));
            assert_eq!(f.count(Fault::WrongGroup), u16::from(group != key.group()), "{key:?} in {group:?}");
            assert_eq!(r.is_empty(), group != key.group(), "{key:?} in {group:?}");
        }
    }
}

#[test]
fn a_bad_hint_is_dropped_alone_and_counted() {
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
        let (r, f) = query(&format!("d=2000,{text},bs"));
        assert_eq!((f.count(fault), f.total()), (1, 1), "{text}: {f}");
        assert_eq!((r.d, r.bs), (Some(Millis(2000)), true), "{text}: the neighbours stay");
    }
    let long = "x".repeat(65);
    assert_eq!(query(&format!("sid=\"{long}\"")).1.count(Fault::TooLong), 1);
    assert_eq!(query("br=1,br=2").0.br, Some(Kbps(1)), "the first one counts");
    assert_eq!(query("cid=\"never closed,br=5").1.count(Fault::Malformed), 1);
}

#[test]
fn custom_keys_are_kept_up_to_their_bound() {
    let (r, f) = query("com.example-myNumericKey=500,com.example-flag,com.example-s=\"a\\\"b\"");
    assert_eq!((r.custom.len(), f.total()), (3, 0));
    assert_eq!(r.custom[2].value, CustomValue::Quoted("a\"b".into()));
    let many: Vec<_> = (0..40).map(|i| format!("a-{i}=1")).collect();
    let (r, f) = query(&many.join(","));
    assert_eq!(
        (r.custom.len(), f.count(Fault::LimitExceeded)),
        (MAX_CUSTOM_KEYS, 40 - MAX_CUSTOM_KEYS as u16)
    );
}

#[test]
fn version_two_lists_fold_as_their_key_asks() {
    let (r, f) = query("br=(3000;v 128;a),bl=(4000;v 1500;a),mtp=(100 900),v=2");
    assert_eq!(f.total(), 0, "{f}");
    assert_eq!((r.br, r.bl, r.mtp), (Some(Kbps(3128)), Some(Millis(1500)), Some(Kbps(900))));
    assert_eq!(query("br=()").1.count(Fault::OutOfRange), 1);
    assert_eq!(query("br=(1").1.count(Fault::Malformed), 1);
}

#[test]
fn reports_tell_a_sessions_life_line_by_line() {
    let mut f = Faults::default();
    let body = "e=ps,sid=\"a\",sn=1,sta=s,ts=1,v=2\r\ne=ps,msd=400,sid=\"a\",sn=2,sta=p,ts=2,v=2\n\n\
                e=rr,rc=503,sid=\"a\",sn=3,ts=3,v=2\ne=ps,sid=\"a\",sn=4,sta=q,ts=4,v=2\n";
    let all = read_reports(body, &mut f);
    assert_eq!(f.total(), 0, "{f}");
    let states: Vec<_> = all.iter().map(|r| r.sta).collect();
    assert_eq!(states, [Some(PlayState::Starting), Some(PlayState::Playing), None, Some(PlayState::Quit)]);
    assert_eq!((all[1].msd, all[2].rc, all[2].e), (Some(Millis(400)), Some(503), Some(EventKind::Response)));
    assert!(all[3].sta.unwrap().has_ended());
    let flood = "bs\n".repeat(MAX_REPORTS + 3);
    assert_eq!(read_reports(&flood, &mut f).len(), MAX_REPORTS);
    assert_eq!(f.count(Fault::LimitExceeded), 3);
}

#[test]
fn contradictions_come_out_as_one_reading() {
    let both = |h: &str, q: &str| reconcile(query(h).0, query(q).0);
    let (r, c) = both("br=3000,tb=2000", "");
    assert_eq!((r.br, r.tb), (Some(Kbps(3000)), None));
    assert!(c.contains(Contradiction::BitrateAboveTop));
    let (r, c) = both("br=3000", "br=1000,cid=\"x\"");
    assert_eq!(
        (r.br, r.cid.as_deref()),
        (Some(Kbps(3000)), Some("x")),
        "the header counts, the rest fills up"
    );
    assert!(c.contains(Contradiction::HeaderAgainstQuery));
    let (r, c) = both("su,bl=4000,d=2000", "");
    assert!(!r.su && c.contains(Contradiction::StartupWithBuffer));
    let (r, c) = both("su,bl=400,d=2000", "");
    assert!(r.su && c.is_empty(), "a start with a little buffered is no contradiction");
    let (r, c) = both("bs,bl=4000,d=2000", "");
    assert!(!r.bs && c.contains(Contradiction::StarvedWithBuffer));
    let (r, c) = both("su,sta=q", "");
    assert!(r.sta.is_none() && c.contains(Contradiction::EndedButUrgent));
    let (_, c) = both("br=3000", "br=3000");
    assert!(c.is_empty(), "the same twice is none");
}
