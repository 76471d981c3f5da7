//! What a front has been told of by several streams.

use super::*;

/// Guards against a break of rule 3 that is none: the second of two streams of a front began with versions that the first
/// had told, and the drain of a server that was back in service counted as news.
#[test]
fn a_version_that_another_stream_told_before_is_no_news() {
    let channels = Channels::default();
    assert!(channels.is_news(3, 27) && channels.is_news(3, 32), "by the first stream");
    assert!(!channels.is_news(3, 27) && !channels.is_news(3, 32), "by the second stream");
    assert!(channels.is_news(3, 33) && channels.is_news(1, 27), "a new version, and another front");
}
