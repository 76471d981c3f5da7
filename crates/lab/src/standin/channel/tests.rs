//! What a front has been told of by several streams.

use super::*;

/// Guards against a break of rule 3 that is none: the second of two streams of a front began with versions that the first
/// had told, and the drain of a server that was back in service counted as news.
#[test]
fn a_version_that_another_stream_told_before_is_no_news() {
    let channels = Channels::default();
    channels.told_whole(3, 26);
    assert!((27..=32).all(|version| channels.is_news(3, version)), "by the first stream");
    assert!(!(27..=32).any(|version| channels.is_news(3, version)), "by the second stream");
    assert!(channels.is_news(3, 33) && channels.is_news(1, 27), "a new version, and another front");
}

/// Guards against a break of rule 3 that is none: the version that was left out, told after the one behind it, brought a
/// server back into service and was not counted as news.
#[test]
fn versions_after_a_gap_are_news_when_they_are_told_again() {
    let channels = Channels::default();
    channels.told_whole(3, 26);
    assert!(channels.is_news(3, 28), "with 27 left out");
    assert!(channels.is_news(3, 27) && channels.is_news(3, 28), "told again from the gap on");
    assert!(!channels.is_news(3, 27) && !channels.is_news(3, 28));
}
