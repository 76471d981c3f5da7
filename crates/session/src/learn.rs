//! What the front observes, kept for its peers; and peers' words, as the decision module takes them.

use crate::broken::{hold, Broken};
use crate::list::{ListNews, WireState};
use crate::terms::MemoryTerms;
use crate::types::{Load, PeerSaid};
use arc_swap::ArcSwap;
use cloverhollow::{ListMode, LoadReport, PeerReport, ServerState};
use cloverhollow_knowledge::facts::{Facts, Observer, Piece, Standing, Start, State};
use cloverhollow_knowledge::wire::Message;
use cloverhollow_knowledge::{Book, BookView, MergeError};
use std::sync::Arc;
use std::time::Duration;

/// The last snapshot of the book: read by any task without blocking the core's.
#[derive(Debug)]
pub struct Shelf {
    view: ArcSwap<BookView>,
}

impl Shelf {
    /// The snapshot.
    pub fn view(&self) -> Arc<BookView> {
        self.view.load_full()
    }
}

/// The core's side of knowledge.
#[derive(Debug)]
pub(crate) struct Learning {
    on: bool,
    book: Book,
    shelf: Arc<Shelf>,
    published: u64,
    forgot: Duration,
}

/// Time between clearings of what is past the horizon.
const CLEAR: Duration = Duration::from_secs(5);

impl Learning {
    /// Without terms nobody is told: the book stays empty, however many servers come and go.
    pub(crate) fn new(terms: Option<&MemoryTerms>, incarnation: u64) -> Self {
        let (instance, fleet, horizon) =
            terms.map_or((0, 0, Duration::ZERO), |t| (t.instance, t.fleet, t.horizon));
        let book = Book::new(Observer { instance, incarnation }, fleet, horizon);
        let shelf = Arc::new(Shelf { view: ArcSwap::from_pointee(book.view()) });
        Learning { on: terms.is_some(), book, shelf, published: 0, forgot: Duration::ZERO }
    }

    pub(crate) fn shelf(&self) -> Arc<Shelf> {
        self.shelf.clone()
    }

    /// Puts a new snapshot out where something has changed: constant time.
    pub(crate) fn publish(&mut self) {
        let view = self.book.view();
        if view.seq() != self.published {
            self.published = view.seq();
            self.shelf.view.store(Arc::new(view));
        }
    }

    /// What is shown is the last.
    pub(crate) fn check(&self) -> Result<(), Broken> {
        let (shown, last) = (self.published, self.book.view().seq());
        hold(shown == last, || Broken::Shelf { shown, last })
    }

    pub(crate) fn behaved(&mut self, now: Duration, server: u64, worked: bool, lost: bool) {
        if self.on {
            self.book.behaved(now, server, worked, lost);
        }
    }

    pub(crate) fn read(&mut self, now: Duration, server: u64, load: Load) {
        if self.on {
            self.book.read(now, server, load.link, load.rack, load.share);
        }
    }

    /// The own list told news. Gives peers' newer words on drains again, which the list has just overwritten:
    /// guards against an own stream that is behind its peers'.
    pub(crate) fn listed(&mut self, now: Duration, news: &ListNews) -> Vec<PeerReport> {
        if news.mode == ListMode::Failed || !self.on {
            return Vec::new();
        }
        for e in &news.entries {
            let standing = match e.state {
                WireState::Serving => Standing::Serving,
                WireState::Draining => Standing::Draining,
                WireState::Gone => Standing::Gone,
            };
            self.book.listed(now, e.id, State { version: news.version, standing });
            let before_ms = e.started_ms_ago.map(|ms| u32::try_from(ms).unwrap_or(u32::MAX));
            self.book.started(now, e.id, Start { incarnation: e.incarnation, before_ms });
        }
        let heard = self.book.heard_of().into_iter().filter_map(|server| {
            let facts = self.book.heard(now, server);
            let careful = facts.state.filter(|s| s.fact.standing != Standing::Serving)?;
            Some(self.event(now, server, &Facts { state: Some(careful), ..Facts::default() }))
        });
        heard.flatten().collect()
    }

    pub(crate) fn merge(
        &mut self,
        now: Duration,
        asked_at: Duration,
        nonce: u64,
        message: &Message,
    ) -> Result<(Vec<PeerReport>, PeerSaid), MergeError> {
        if now >= self.forgot + CLEAR {
            self.forgot = now;
            self.book.forget_old(now);
        }
        let merged = self.book.merge(now, asked_at, nonce, message)?;
        let events = merged.learned.iter().flat_map(|l| self.event(now, l.server, &l.facts)).collect();
        Ok((events, PeerSaid { level: message.level, seq: message.seq, peers: merged.peers }))
    }

    /// What this front knew before its start. How long it was away is not known (clocks jump), so only what
    /// goes by versions is taken: states and starts, never load or health.
    pub(crate) fn remember(&mut self, now: Duration, message: &Message) -> Vec<PeerReport> {
        let remembered = message.without_ages();
        let merged = self.book.merge(now, now, remembered.nonce, &remembered);
        let learned = merged.map(|m| m.learned).unwrap_or_default();
        learned.iter().flat_map(|l| self.event(now, l.server, &l.facts)).collect()
    }

    /// Pieces as the module takes them: one event, and one more where the uplink's reading has another age.
    fn event(&self, now: Duration, server: u64, f: &Facts) -> Vec<PeerReport> {
        let state = match f.state.map(|s| s.fact.standing) {
            Some(Standing::Draining) => ServerState::Draining,
            Some(Standing::Gone) => ServerState::Removed,
            Some(Standing::Serving) | None => ServerState::Serving,
        };
        let start = |p: Piece<Start>| {
            let before = Duration::from_millis(p.fact.before_ms?.into());
            Some(p.seen.at.saturating_sub(before))
        };
        let health = f.health.map(|h| h.fact);
        let age = |at: Option<Duration>| at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let link = PeerReport {
            server,
            state,
            started_at: f.start.and_then(start).unwrap_or_default(),
            failed: health.is_some_and(|h| h.failures > 0),
            may_have_restarted: health.is_some_and(|h| h.lost),
            load: LoadReport { link_load: f.link.map(|p| p.fact.share()), uplink_load: None },
            load_age: age(f.link.map(|p| p.seen.at)),
        };
        let says = link.state != ServerState::Serving
            || !link.started_at.is_zero()
            || link.failed
            || f.link.is_some();
        let rack = f.rack.map(|p| PeerReport {
            server,
            load: LoadReport { link_load: None, uplink_load: Some(p.fact.share()) },
            load_age: age(Some(p.seen.at)),
            ..PeerReport::default()
        });
        says.then_some(link).into_iter().chain(rack).collect()
    }
}
