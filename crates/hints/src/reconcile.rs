//! Hints that contradict each other: one reading comes out, and what was dropped is told.

use crate::cmcd::Record;

/// A pair of hints that cannot both be true, and which one was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Contradiction {
    /// Headers and query argument differ: the headers count (a query is copied by caches and redirects).
    HeaderAgainstQuery,
    /// `br` over `tb`: `tb` is dropped, as the client has shown that it plays `br`.
    BitrateAboveTop,
    /// `su` while at least one object's playing time is buffered: `su` is dropped.
    StartupWithBuffer,
    /// `bs` with a full object buffered and no startup: `bs` is dropped.
    StarvedWithBuffer,
    /// The player says that it is over, and asks urgently: the end is dropped, as it asks.
    EndedButUrgent,
    /// A `sid` that came with another `cid` before: the first `cid` counts.
    ContentChanged,
}

impl Contradiction {
    /// All of them.
    pub const ALL: [Contradiction; 6] = [
        Contradiction::HeaderAgainstQuery,
        Contradiction::BitrateAboveTop,
        Contradiction::StartupWithBuffer,
        Contradiction::StarvedWithBuffer,
        Contradiction::EndedButUrgent,
        Contradiction::ContentChanged,
    ];

    /// A word for logs and counts.
    pub fn label(self) -> &'static str {
        match self {
            Contradiction::HeaderAgainstQuery => "header-query",
            Contradiction::BitrateAboveTop => "br-over-tb",
            Contradiction::StartupWithBuffer => "su-with-buffer",
            Contradiction::StarvedWithBuffer => "bs-with-buffer",
            Contradiction::EndedButUrgent => "over-but-urgent",
            Contradiction::ContentChanged => "cid-changed",
        }
    }
}

/// A set of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contradictions(u8);

impl Contradictions {
    /// Adds one.
    pub fn add(&mut self, c: Contradiction) {
        self.0 |= 1 << c as u8;
    }

    /// Whether it is in.
    pub fn contains(self, c: Contradiction) -> bool {
        self.0 & (1 << c as u8) != 0
    }

    /// Whether there are none.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Those that are in.
    pub fn iter(self) -> impl Iterator<Item = Contradiction> {
        Contradiction::ALL.into_iter().filter(move |c| self.contains(*c))
    }

    /// Adds all of the other set; gives those that are new.
    pub fn insert_all(&mut self, other: Contradictions) -> Contradictions {
        let new = Contradictions(other.0 & !self.0);
        self.0 |= other.0;
        new
    }
}

/// One reading from the headers and the query argument, with contradictions resolved.
pub fn reconcile(headers: Record, query: Record) -> (Record, Contradictions) {
    let mut found = Contradictions::default();
    let mut r = merge(headers, query, &mut found);
    if let (Some(br), Some(tb)) = (r.br, r.tb) {
        if br > tb {
            r.tb = None;
            found.add(Contradiction::BitrateAboveTop);
        }
    }
    let buffered = matches!((r.bl, r.d), (Some(bl), Some(d)) if d.0 > 0 && bl >= d);
    if r.su && buffered {
        r.su = false;
        found.add(Contradiction::StartupWithBuffer);
    }
    if r.bs && buffered && !r.su {
        r.bs = false;
        found.add(Contradiction::StarvedWithBuffer);
    }
    if r.su && r.sta.is_some_and(|s| s.has_ended()) {
        r.sta = None;
        found.add(Contradiction::EndedButUrgent);
    }
    (r, found)
}

/// The headers, filled up from the query.
fn merge(h: Record, q: Record, found: &mut Contradictions) -> Record {
    if q.is_empty() {
        return h;
    }
    if h.is_empty() {
        return q;
    }
    let mut differ = false;
    macro_rules! first {
        ($($field:ident),*) => {{
            $(differ |= h.$field.is_some() && q.$field.is_some() && h.$field != q.$field;)*
            Record {
                $($field: h.$field.or(q.$field),)*
                bs: h.bs || q.bs,
                su: h.su || q.su,
                custom: if h.custom.is_empty() { q.custom } else { h.custom },
            }
        }};
    }
    let r = first!(
        bl, br, cid, d, dl, e, ltc, msd, mtp, nor, nrr, ot, pr, rc, rtp, sf, sid, sn, st, sta, tb, ts, v
    );
    if differ {
        found.add(Contradiction::HeaderAgainstQuery);
    }
    r
}
