//! Resolution of contradictory hints into one record, with a report of those that were dropped.

use crate::cmcd::Record;

/// Pair of hints that cannot both be true; the description says which one is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Contradiction {
    /// Headers and query argument differ: the headers win, as caches and redirects copy queries.
    HeaderAgainstQuery,
    /// `br` is greater than `tb`: `tb` is dropped, as the client demonstrably plays `br`.
    BitrateAboveTop,
    /// `su` with at least one object's duration buffered: `su` is dropped.
    StartupWithBuffer,
    /// `bs` without `su` with at least one object's duration buffered: `bs` is dropped.
    StarvedWithBuffer,
    /// The play state is an end state but the request is urgent: the state is dropped, as the player requests
    /// media.
    EndedButUrgent,
    /// The `sid` was used with another `cid` before: the first `cid` stays in use.
    ContentChanged,
}

impl Contradiction {
    /// All contradictions.
    pub const ALL: [Contradiction; 6] = [
        Contradiction::HeaderAgainstQuery,
        Contradiction::BitrateAboveTop,
        Contradiction::StartupWithBuffer,
        Contradiction::StarvedWithBuffer,
        Contradiction::EndedButUrgent,
        Contradiction::ContentChanged,
    ];

    /// Name in logs and metrics labels.
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

/// Set of contradictions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contradictions(u8);

impl Contradictions {
    /// Adds a contradiction to the set.
    pub fn add(&mut self, contradiction: Contradiction) {
        self.0 |= 1 << contradiction as u8;
    }

    /// Returns whether the contradiction is in the set.
    pub fn contains(self, contradiction: Contradiction) -> bool {
        self.0 & (1 << contradiction as u8) != 0
    }

    /// Returns whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Iterates over the contradictions of the set.
    pub fn iter(self) -> impl Iterator<Item = Contradiction> {
        Contradiction::ALL.into_iter().filter(move |c| self.contains(*c))
    }

    /// Adds all contradictions of the other set and returns those that were not in this one.
    pub fn insert_all(&mut self, other: Contradictions) -> Contradictions {
        let new = Contradictions(other.0 & !self.0);
        self.0 |= other.0;
        new
    }
}

/// Merges the record of the headers with that of the query argument and resolves contradictions.
pub fn reconcile(headers: Record, query: Record) -> (Record, Contradictions) {
    let mut found = Contradictions::default();
    let mut record = merge(headers, query, &mut found);
    if let (Some(br), Some(tb)) = (record.br, record.tb) {
        if br > tb {
            record.tb = None;
            found.add(Contradiction::BitrateAboveTop);
        }
    }
    let buffered = matches!((record.bl, record.d), (Some(bl), Some(d)) if d.0 > 0 && bl >= d);
    if record.su && buffered {
        record.su = false;
        found.add(Contradiction::StartupWithBuffer);
    }
    if record.bs && buffered && !record.su {
        record.bs = false;
        found.add(Contradiction::StarvedWithBuffer);
    }
    if record.su && record.sta.is_some_and(|s| s.has_ended()) {
        record.sta = None;
        found.add(Contradiction::EndedButUrgent);
    }
    (record, found)
}

/// Merges the records; the headers win where both have a key.
fn merge(headers: Record, query: Record, found: &mut Contradictions) -> Record {
    if query.is_empty() {
        return headers;
    }
    if headers.is_empty() {
        return query;
    }
    let mut differ = false;
    macro_rules! merge_fields {
        ($($field:ident),*) => {{
            $(differ |= headers.$field.is_some() && query.$field.is_some() && headers.$field != query.$field;)*
            Record {
                $($field: headers.$field.or(query.$field),)*
                bs: headers.bs || query.bs,
                su: headers.su || query.su,
                custom: if headers.custom.is_empty() { query.custom } else { headers.custom },
            }
        }};
    }
    let record = merge_fields!(
        bl, br, cid, d, dl, e, ltc, msd, mtp, nor, nrr, ot, pr, rc, rtp, sf, sid, sn, st, sta, tb, ts, v
    );
    if differ {
        found.add(Contradiction::HeaderAgainstQuery);
    }
    record
}
