//! Requests of viewers: validation against the settings, and the responses.

use crate::rtsp::{self, Message, Method, StartLine};
use crate::settings::{index_of, SiteSettings};
use bytes::Bytes;
use cloverhollow_hints::{Contradictions, Faults};
use cloverhollow_session::{Answer, Arrival, SessionId, ViewerId};
use std::time::Duration;

/// Upper bound of the waiting time that a request may state, in milliseconds; the deadline of its class applies in
/// addition. A hand-over of an established session states more than an hour.
const MAX_WAIT_MS: u64 = u32::MAX as u64;
/// Upper bound of the home cell and of the number of copies that a set-up may state.
const MAX_CELLS: u64 = 1_000_000;

/// Parts of a set-up that are passed on to the video server unchanged.
#[derive(Clone, Debug)]
pub struct SetupRequest {
    /// Name of the class.
    pub class: String,
    /// Title, as spelled in the request.
    pub title: String,
    /// Session description (SDP).
    pub description: String,
}

/// A valid set-up or hand-over.
#[derive(Debug)]
pub struct Setup {
    /// Session id.
    pub sid: SessionId,
    /// Name of the server at which the session plays already. Set for a hand-over, which gets no response.
    pub playing_at: Option<String>,
    /// The request for the session core. The caller sets `viewer`.
    pub arrival: Arrival<SetupRequest>,
}

/// A viewer's message, classified.
#[derive(Debug)]
pub enum ViewerRequest {
    /// Sets a session up, or hands an established one over.
    Setup(Box<Setup>),
    /// Abandons a set-up or releases a session.
    Teardown {
        /// Session id.
        sid: SessionId,
        /// `CSeq` of the request.
        cseq: String,
    },
    /// Pings the session manager.
    Ping {
        /// `CSeq` of the request.
        cseq: String,
        /// Session id, if the request names one.
        sid: Option<String>,
    },
    /// Response, or request that needs no action.
    NoAction,
}

/// Reason why a message is rejected, and the headers for the error response.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("{problem}")]
pub struct InvalidRequest {
    /// Description of the problem.
    pub problem: &'static str,
    /// Headers for the error response.
    pub reply_to: rtsp::ReplyTarget,
}

fn session_id(message: &Message) -> Option<SessionId> {
    let id = message.header("Session")?;
    (id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit())).then(|| id.into())
}

/// Parses a whole number of at most `max`, without sign or blanks.
fn number(text: &str, max: u64) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|n| digits && *n <= max)
}

/// Parses a viewer's message and validates it against the settings.
///
/// # Errors
/// The message is invalid. An error response is due.
pub fn parse(message: Message, site: &SiteSettings) -> Result<ViewerRequest, InvalidRequest> {
    let cseq = message.header("CSeq").unwrap_or_default();
    let cseq = if number(cseq, u64::MAX).is_some() { cseq.to_owned() } else { String::new() };
    let sid = session_id(&message);
    let reply_to = rtsp::ReplyTarget {
        cseq: (!cseq.is_empty()).then(|| cseq.clone()),
        session: sid.as_deref().map(str::to_owned),
    };
    let invalid = |problem| Err(InvalidRequest { problem, reply_to: reply_to.clone() });
    let StartLine::Request { method, uri } = &message.start_line else { return Ok(ViewerRequest::NoAction) };
    if cseq.is_empty() {
        return invalid("CSeq is missing or not a number");
    }
    if !uri.starts_with("rtsp://media/") {
        return invalid("URI does not start with rtsp://media/");
    }
    match method {
        Method::Setup => {}
        Method::Teardown => {
            let Some(sid) = sid else { return invalid("session id is not 16 hex digits") };
            return Ok(ViewerRequest::Teardown { sid, cseq });
        }
        Method::Options => return Ok(ViewerRequest::Ping { cseq, sid: reply_to.session }),
        Method::Announce | Method::Redirect | Method::SetParameter => return Ok(ViewerRequest::NoAction),
    }
    match parse_setup(&message, uri, sid, site) {
        Ok(setup) => Ok(ViewerRequest::Setup(Box::new(setup))),
        Err(problem) => invalid(problem),
    }
}

fn parse_setup(
    message: &Message,
    uri: &str,
    sid: Option<SessionId>,
    site: &SiteSettings,
) -> Result<Setup, &'static str> {
    let sid = sid.ok_or("session id is not 16 hex digits")?;
    let key = uri.rsplit('/').next().unwrap_or_default();
    let title = u64::from_str_radix(key, 16).ok().filter(|_| (1..=16).contains(&key.len()));
    let title = title.ok_or("title is not 1 to 16 hex digits")?;
    let class = message.header("X-Service").and_then(|c| index_of(&site.names.classes, c));
    let class = class.ok_or("X-Service is not a class of the settings")?;
    let tenant = match message.header("X-Account") {
        None => None,
        Some(name) => {
            Some(index_of(&site.names.tenants, name).ok_or("X-Account is not a tenant of the settings")?)
        }
    };
    let wait = message.header("X-Setup-Ms").and_then(|w| number(w, MAX_WAIT_MS));
    let wait = Duration::from_millis(wait.ok_or("X-Setup-Ms is missing or out of range")?);
    let description =
        std::str::from_utf8(&message.body).map_err(|_| "description is not valid UTF-8")?.to_owned();
    let route = RouteHeader::parse(message.header("X-Route").unwrap_or_default())?;
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
            description,
        },
    };
    Ok(Setup { sid, playing_at: route.at, arrival })
}

/// Parameters of the header `X-Route`, named as on the wire.
#[derive(Default)]
struct RouteHeader {
    /// First of the cells that hold the title.
    home: u64,
    /// Number of cells that hold the title.
    copies: u64,
    /// Maximum rung.
    top: Option<u64>,
    /// True if the viewer repeats an earlier request.
    again: bool,
    /// Name of the server at which the session plays already.
    at: Option<String>,
}

impl RouteHeader {
    fn parse(text: &str) -> Result<RouteHeader, &'static str> {
        let mut route = RouteHeader::default();
        for part in text.split(';').map(str::trim).filter(|p| !p.is_empty()) {
            let (name, value) = part.split_once(':').ok_or("X-Route parameter without a value")?;
            let parameter = |max| number(value, max).ok_or("X-Route parameter is not a number in range");
            match name {
                "home" => route.home = parameter(MAX_CELLS)?,
                "copies" => route.copies = parameter(MAX_CELLS)?,
                "top" => route.top = Some(parameter(1_000)?),
                "again" => route.again = parameter(1)? == 1,
                "at" => route.at = Some(value.to_owned()),
                // Unknown parameters are ignored, for forward compatibility.
                _ => {}
            }
        }
        Ok(route)
    }
}

/// Encodes the final response to a set-up. `description` returns the video server's session description if the session
/// has been established.
pub fn setup_response<B>(sid: &str, answer: &Answer<B>, description: impl FnOnce(&B) -> Bytes) -> Bytes {
    match answer {
        Answer::Stream { response, .. } => rtsp::response(200, "1", Some(sid), &[], &description(response)),
        // On the platform no viewer joins the session of another: a session id in use is rejected before it
        // reaches the session core.
        Answer::Follow(_) => rtsp::response(400, "1", Some(sid), &[], b""),
        Answer::Refused { retry_after, .. } => refusal_response(sid, *retry_after),
        Answer::Failed { timed_out: true, .. } => rtsp::response(504, "1", Some(sid), &[], b""),
        Answer::Failed { timed_out: false, .. } => failure_response(sid),
    }
}

/// Encodes the response to a set-up that failed and that may have been executed.
pub fn failure_response(sid: &str) -> Bytes {
    rtsp::response(502, "1", Some(sid), &[], b"")
}

/// Encodes the response to a set-up that is refused and certainly was not executed. `retry_after` zero leaves the header
/// `Retry-After-Ms` out.
pub fn refusal_response(sid: &str, retry_after: Duration) -> Bytes {
    let header = [("Retry-After-Ms", retry_after.as_millis().to_string())];
    rtsp::response(503, "1", Some(sid), if retry_after.is_zero() { &[] } else { &header }, b"")
}

/// Encodes the response to an invalid message. It states nothing about any pending request.
pub fn error_response(status: u16, to: &rtsp::ReplyTarget) -> Bytes {
    rtsp::response(status, to.cseq.as_deref().unwrap_or("0"), to.session.as_deref(), &[], b"")
}

/// Encodes a release to a viewer, for one of the causes in [`crate::lines::cause`].
pub fn release_request(sid: &str, cause: i64) -> Bytes {
    rtsp::request(Method::Teardown, "rtsp://media/session", "2", sid, &[("Reason", format!("cause={cause}"))])
}

/// Encodes the response 200 to a release or a ping.
pub fn ok_response(cseq: &str, sid: Option<&str>) -> Bytes {
    rtsp::response(200, cseq, sid, &[], b"")
}
