//! A viewer of the platform: sets a session up over RTSP, and watches until it or its server ends it.

use crate::client::{Clients, Request, Word};
use crate::exchange::{Got, Seen};
use crate::plan::Viewer;
use crate::standin::World;
use crate::viewer::{Audience, Try, LATE};
use bytes::Bytes;
use cloverhollow_platform::lines::cause;
use cloverhollow_platform::rtsp::{self, Message, Method, StartLine};
use cloverhollow_settings::title_id;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// A set-up that crosses the close of its connection within this is sent again, once.
const CROSSED: Duration = Duration::from_millis(50);
/// What is said to a viewer that goes is still read for so long.
const LAST: Duration = Duration::from_millis(200);

/// What came of a set-up.
enum Asked {
    Answered(Message),
    Broke,
    TimeUp,
    HungUp,
}

/// One try at a session.
struct Attempt<'a> {
    front: usize,
    top: usize,
    sid: Arc<str>,
    call: u64,
    clients: &'a Arc<Clients>,
}

impl Audience {
    fn setup(&self, v: &Viewer, sid: &str, tries: u32) -> (Bytes, String) {
        let site = &self.script.front;
        let title = title_id(&v.title);
        let class = &site.classes.0[v.class];
        let (home, copies) = (site.home_cell(title), site.fleet.cells_per_title.value);
        let route = format!(
            "home:{home};copies:{copies};top:{};viewer:{:016x};again:{}",
            v.top,
            v.id,
            u8::from(tries > 0)
        );
        // Half of all sessions come to their end at their servers.
        let length = (v.id.is_multiple_of(2)).then(|| format!("len={}\r\n", v.length.as_millis().max(1)));
        let blob = format!("{:016x}\r\nc=IN IP4 10.0.0.1\r\n{}", v.seed, length.unwrap_or_default());
        let mut headers = vec![
            ("X-Service", class.name.as_str().to_owned()),
            ("X-Setup-Ms", class.deadline_ms.get().as_millis().to_string()),
            ("X-Route", route),
        ];
        if let Some(tenant) = site.tenants.get(v.tenant) {
            headers.push(("X-Account", tenant.name.as_str().to_owned()));
        }
        let uri = format!("rtsp://media/{title:016x}");
        (rtsp::request_with_body(Method::Setup, &uri, "1", sid, &headers, blob.as_bytes()), blob)
    }

    /// One try at a session; its id is never used again.
    pub(crate) async fn session_by_rtsp(
        &self,
        v: &Viewer,
        tries: u32,
        front: usize,
        world: &World,
        clients: &Arc<Clients>,
    ) -> Try {
        let sid: Arc<str> = format!("{:016x}", (v.id as u64) << 16 | u64::from(tries)).into();
        let call = self.next_call.fetch_add(1, Relaxed);
        let at = Attempt { front, top: v.top, sid: sid.clone(), call, clients };
        let tried = self.try_session(v, tries, world, &at).await;
        clients.forget(front, &sid);
        tried
    }

    fn ended(&self, at: &Attempt<'_>, got: Got) {
        self.log.put(Seen::CallEnded { call: at.call, sid: at.sid.clone(), got });
    }

    fn called(&self, v: &Viewer, at: &Attempt<'_>) {
        let patience = self.script.front.classes.0[v.class].deadline_ms.get();
        let (call, sid, front) = (at.call, at.sid.clone(), at.front);
        let title = v.title.clone();
        self.log.put(Seen::Called { call, sid, front, class: v.class, title, top: v.top, patience });
    }

    async fn try_session(&self, v: &Viewer, tries: u32, world: &World, at: &Attempt<'_>) -> Try {
        let class = &self.script.front.classes.0[v.class];
        let begun = self.log.now();
        world.ask(&at.sid, v.class, &v.title);
        let (setup, blob) = self.setup(v, &at.sid, tries);
        // As one sees it whom the front hears late: it has left when its request is taken, and the front does not know.
        if let (Some(stays), false) = (v.hang_up, self.deaf.is_zero()) {
            self.called(v, at);
            sleep(stays).await;
            self.ended(at, Got::HungUp);
            self.log.put(Seen::ViewerOver { sid: at.sid.clone() });
            sleep(self.deaf).await;
            let begun = at.clients.begin(self.set_up_request(at, setup, true), || {}).await;
            sleep(self.deaf).await;
            if let Some((conn, _)) = begun {
                at.clients.close(at.front, conn);
            }
            return Try::Done;
        }
        // One that hangs up without a word closes its connection, which is its own then.
        let silent = v.hang_up.is_some() && !v.id.is_multiple_of(3);
        let request = self.set_up_request(at, setup.clone(), silent);
        let Some((mut conn, mut words)) = at.clients.begin(request, || self.called(v, at)).await else {
            return Try::Lost;
        };
        let mut asked = self.await_answer(v, &mut words).await;
        if matches!(asked, Asked::Broke) && self.log.now() < begun + CROSSED {
            let again = Request { again: true, ..self.set_up_request(at, setup, silent) };
            if let Some(begun) = at.clients.begin(again, || {}).await {
                (conn, words) = begun;
                asked = self.await_answer(v, &mut words).await;
            }
        }
        let answer = match asked {
            Asked::Answered(answer) => answer,
            Asked::Broke => {
                self.ended(at, Got::Lost);
                return Try::Lost;
            }
            Asked::TimeUp => {
                self.ended(at, Got::TimeUp);
                return Try::Again(Duration::ZERO);
            }
            Asked::HungUp => {
                self.ended(at, Got::HungUp);
                self.log.put(Seen::ViewerOver { sid: at.sid.clone() });
                if silent {
                    at.clients.close(at.front, conn);
                } else {
                    at.clients.tear_down(at.front, &at.sid, None).await;
                }
                return Try::Done;
            }
        };
        let StartLine::Response { status } = answer.start_line else {
            self.ended(at, Got::Lost);
            return Try::Lost;
        };
        let wait = answer
            .header("Retry-After-Ms")
            .and_then(|w| w.parse().ok())
            .map_or(Duration::ZERO, Duration::from_millis);
        // An answer with what no server gave for this session is none.
        let good = status != 200 || answer.body == blob.as_bytes();
        let waited = self.log.now() - begun;
        if status == 200 {
            at.clients.stands(at.front, &at.sid);
        }
        self.ended(at, if good { Got::Status { status, reason: None } } else { Got::Lost });
        self.tally.answered(status, waited);
        match status {
            200 => {}
            502 | 504 if class.at_most_once => return Try::Done,
            _ => return Try::Again(wait),
        }
        self.tally.playing(v, waited);
        self.watch(v, at, &mut words).await
    }

    fn set_up_request<'a>(&self, at: &'a Attempt<'_>, bytes: Bytes, alone: bool) -> Request<'a> {
        Request { front: at.front, sid: &at.sid, call: at.call, top: at.top, bytes, alone, again: false }
    }

    async fn await_answer(&self, v: &Viewer, words: &mut UnboundedReceiver<Word>) -> Asked {
        let patience = self.script.front.classes.0[v.class].deadline_ms.get();
        let hang_up = v.hang_up.unwrap_or(patience + Duration::from_secs(60));
        tokio::select! {
            got = timeout(patience + LATE, words.recv()) => match got {
                Ok(Some(Word::Message(answer))) => Asked::Answered(answer),
                Ok(_) => Asked::Broke,
                Err(_) => Asked::TimeUp,
            },
            () = sleep(hang_up) => Asked::HungUp,
        }
    }

    async fn watch(&self, v: &Viewer, at: &Attempt<'_>, words: &mut UnboundedReceiver<Word>) -> Try {
        // One that its server ends waits for that; the other leaves by itself.
        let own = if v.id.is_multiple_of(2) { self.script.length_ms.get() } else { v.length };
        let until = Instant::now() + own;
        loop {
            let word = tokio::select! {
                word = words.recv() => word,
                () = sleep_until(until) => {
                    self.log.put(Seen::ViewerOver { sid: at.sid.clone() });
                    at.clients.tear_down(at.front, &at.sid, Some(cause::CANCELLED)).await;
                    sleep(LAST).await;
                    return Try::Done;
                }
            };
            // Its connection may end; the session does not.
            let Some(Word::Message(message)) = word else { continue };
            if !matches!(message.start_line, StartLine::Request { method: Method::Teardown, .. }) {
                continue;
            }
            let reason = message.header("Reason").and_then(|r| r.strip_prefix("cause="));
            let told = reason.and_then(|c| c.parse().ok()).unwrap_or(0);
            self.log.put(Seen::Released { sid: at.sid.clone(), cause: told });
            if told == cause::DONE {
                return Try::Done;
            }
            self.tally.broke();
            return Try::Again(Duration::ZERO);
        }
    }
}
