//! What a viewer's messages ask for, read and checked; and what it is answered.

use crate::rtsp::{self, Message, Method, StartLine};
use crate::settings::{index_of, SiteSettings};
use bytes::Bytes;
use cloverhollow_hints::{Contradictions, Faults};
use cloverhollow_session::{Answer, Arrival, SessionId, ViewerId};
use std::time::Duration;

/// Longest that any viewer may say it waits; the class's own deadline binds besides. A session that is handed over
/// says over an hour.
const LONGEST_WAIT_MS: u64 = u32::MAX as u64;
/// Most cells or copies that a set-up may name.
const MOST_CELLS: u64 = 1_000_000;

/// What a set-up hands on to a video server, unchanged.
#[derive(Clone, Debug)]
pub struct SetupRequest {
    /// The class's name.
    pub class: String,
    /// The title, as the viewer wrote it.
    pub title: String,
    /// The description.
    pub description: String,
}

/// A set-up that can be used.
#[derive(Debug)]
pub struct Setup {
    /// The session.
    pub sid: SessionId,
    /// It plays already at the server of this name: no answer is owed.
    pub playing_at: Option<String>,
    /// For the core, but for who waits.
    pub arrival: Arrival<SetupRequest>,
}

/// What a message of a viewer asks for.
#[derive(Debug)]
pub enum ViewerRequest {
    /// A session.
    Setup(Box<Setup>),
    /// A set-up is given up, or a session released.
    Teardown {
        /// Which.
        sid: SessionId,
        /// Number of the message.
        cseq: String,
    },
    /// A test.
    Ping {
        /// Number of the message.
        cseq: String,
        /// Its session, if it names one.
        sid: Option<String>,
    },
    /// Nothing: an answer, or a note that wants none.
    NoAction,
}

/// Why a message can't be used, and whom that is told.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("{problem}")]
pub struct InvalidRequest {
    /// What is wrong.
    pub problem: &'static str,
    /// Whom to answer.
    pub reply_to: rtsp::ReplyTarget,
}

fn session_id(m: &Message) -> Option<SessionId> {
    let id = m.header("Session")?;
    (id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit())).then(|| id.into())
}

/// A whole number of at most that size, without sign or blanks.
fn number(text: &str, most: u64) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|n| digits && *n <= most)
}

/// Reads a viewer's message.
///
/// # Errors
/// It can't be used: it is owed a refusal.
pub fn parse(m: Message, site: &SiteSettings) -> Result<ViewerRequest, InvalidRequest> {
    let cseq = m.header("CSeq").unwrap_or_default();
    let cseq = if number(cseq, u64::MAX).is_some() { cseq.to_owned() } else { String::new() };
    let sid = session_id(&m);
    let to = rtsp::ReplyTarget {
        cseq: (!cseq.is_empty()).then(|| cseq.clone()),
        session: sid.as_deref().map(str::to_owned),
    };
    let fault = |what| Err(InvalidRequest { problem: what, reply_to: to.clone() });
    let StartLine::Request { method, uri } = &m.start_line else { return Ok(ViewerRequest::NoAction) };
    if cseq.is_empty() {
        return fault("no CSeq that is a number");
    }
    if !uri.starts_with("rtsp://media/") {
        return fault("an address that is none of the platform's");
    }
    match method {
        Method::Setup => {}
        Method::Teardown => {
            let Some(sid) = sid else { return fault("no session id of 16 hex digits") };
            return Ok(ViewerRequest::Teardown { sid, cseq });
        }
        Method::Options => return Ok(ViewerRequest::Ping { cseq, sid: to.session }),
        Method::Announce | Method::Redirect | Method::SetParameter => return Ok(ViewerRequest::NoAction),
    }
    match setup(&m, uri, sid, site) {
        Ok(setup) => Ok(ViewerRequest::Setup(Box::new(setup))),
        Err(what) => fault(what),
    }
}

fn setup(m: &Message, uri: &str, sid: Option<SessionId>, site: &SiteSettings) -> Result<Setup, &'static str> {
    let sid = sid.ok_or("no session id of 16 hex digits")?;
    let key = uri.rsplit('/').next().unwrap_or_default();
    let title = u64::from_str_radix(key, 16).ok().filter(|_| (1..=16).contains(&key.len()));
    let title = title.ok_or("a title that is not up to 16 hex digits")?;
    let class = m.header("X-Service").and_then(|c| index_of(&site.names.classes, c));
    let class = class.ok_or("no class of the settings")?;
    let tenant = match m.header("X-Account") {
        None => None,
        Some(name) => Some(index_of(&site.names.tenants, name).ok_or("no tenant of the settings")?),
    };
    let wait = m.header("X-Setup-Ms").and_then(|w| number(w, LONGEST_WAIT_MS));
    let wait = Duration::from_millis(wait.ok_or("no waiting time that is a number in range")?);
    let blob = std::str::from_utf8(&m.body).map_err(|_| "a description that is no UTF-8")?.to_owned();
    let route = Figures::read(m.header("X-Route").unwrap_or_default())?;
    let deadline = site.deadlines.get(class).copied().filter(|d| !d.is_zero());
    let arrival = Arrival {
        viewer: ViewerId(0),
        sid: sid.clone(),
        title,
        class,
        tenant,
        max_rung: route.top.map_or(usize::MAX, |t| t as usize),
        first_cell: route.home,
        cell_count: route.copies,
        repeated: route.again,
        max_wait: deadline.map_or(wait, |d| wait.min(d)),
        already_playing: false,
        hint_faults: Faults::default(),
        hint_contradictions: Contradictions::default(),
        payload: SetupRequest {
            class: site.names.classes[class].clone(),
            title: key.to_owned(),
            description: blob,
        },
    };
    Ok(Setup { sid, playing_at: route.at, arrival })
}

/// The figures of `X-Route`.
#[derive(Default)]
struct Figures {
    home: u64,
    copies: u64,
    top: Option<u64>,
    again: bool,
    at: Option<String>,
}

impl Figures {
    fn read(text: &str) -> Result<Figures, &'static str> {
        let mut out = Figures::default();
        for part in text.split(';').map(str::trim).filter(|p| !p.is_empty()) {
            let (name, value) = part.split_once(':').ok_or("a figure without a value")?;
            let figure = |most| number(value, most).ok_or("a figure that is no number in range");
            match name {
                "home" => out.home = figure(MOST_CELLS)?,
                "copies" => out.copies = figure(MOST_CELLS)?,
                "top" => out.top = Some(figure(1_000)?),
                "again" => out.again = figure(1)? == 1,
                "at" => out.at = Some(value.to_owned()),
                // New figures may come; what is not known is passed over.
                _ => {}
            }
        }
        Ok(out)
    }
}

/// The final answer to a set-up; `description`: of the video server, for a session that stands.
pub fn setup_response<B>(sid: &str, answer: &Answer<B>, description: impl FnOnce(&B) -> Bytes) -> Bytes {
    match answer {
        Answer::Stream { response: answer, .. } => {
            rtsp::response(200, "1", Some(sid), &[], &description(answer))
        }
        // Nobody follows on the platform: an id that is held already is refused before the core sees it.
        Answer::Follow(_) => rtsp::response(400, "1", Some(sid), &[], b""),
        Answer::Refused { retry_after: after, .. } => refusal_response(sid, *after),
        Answer::Failed { timed_out: true, .. } => rtsp::response(504, "1", Some(sid), &[], b""),
        Answer::Failed { timed_out: false, .. } => failure_response(sid),
    }
}

/// A set-up fails, which claims nothing of whether it ran.
pub fn failure_response(sid: &str) -> Bytes {
    rtsp::response(502, "1", Some(sid), &[], b"")
}

/// A refusal of a set-up of which it is proven that it never ran.
pub fn refusal_response(sid: &str, after: Duration) -> Bytes {
    let wait = [("Retry-After-Ms", after.as_millis().to_string())];
    rtsp::response(503, "1", Some(sid), if after.is_zero() { &[] } else { &wait }, b"")
}

/// What a message that can't be used gets. It claims nothing of any request.
pub fn error_response(status: u16, to: &rtsp::ReplyTarget) -> Bytes {
    rtsp::response(status, to.cseq.as_deref().unwrap_or("0"), to.session.as_deref(), &[], b"")
}

/// A release towards a viewer.
pub fn release_request(sid: &str, cause: i64) -> Bytes {
    rtsp::request(Method::Teardown, "rtsp://media/session", "2", sid, &[("Reason", format!("cause={cause}"))])
}

/// A release was heard, or a test passed.
pub fn ok_response(cseq: &str, sid: Option<&str>) -> Bytes {
    rtsp::response(200, cseq, sid, &[], b"")
}
