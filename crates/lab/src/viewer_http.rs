//! A viewer over HTTP: calls and plays object after object.

use crate::exchange::{Got, Seen};
use crate::plan::{HintStyle, Viewer};
use crate::viewer::{Audience, Try, CONNECT, LATE};
use bytes::Bytes;
use cloverhollow_hints::cmcd::{
    EventKind, Format, Kbps, Millis, ObjectType, PlayState, Record, StreamType, QUERY_PARAM, REPORT_MIME_TYPE,
};
use cloverhollow_hints::cmsd;
use cloverhollow_hints::{Faults, Group};
use cloverhollow_http::{percent_encode, RequestHead, ResponseHead, Target};
use cloverhollow_net::{connect, ClientConn, WireError};
use cloverhollow_session::arrival::rates_kbps;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Longest time for a later object; a player's buffer is empty by then.
const OBJECT: Duration = Duration::from_secs(6);
/// Most bytes of an object.
const MOST: usize = 64 << 20;

/// What an answer's head told.
struct Heard {
    status: u16,
    reason: Option<String>,
    after: Duration,
    rung: usize,
    share: f64,
}

fn heard(head: &ResponseHead) -> Heard {
    let dynamic = head.headers.joined(cmsd::DYNAMIC_HEADER).unwrap_or_default();
    let hops = cmsd::read_dynamic(&dynamic, &mut Faults::default());
    let object = head.headers.get_str(cmsd::STATIC_HEADER).unwrap_or_default();
    let br = cmsd::read_static(object, &mut Faults::default()).bitrate_kbps.unwrap_or(0);
    let front = hops.last();
    let etp = hops.first().filter(|_| hops.len() > 1).and_then(|h| h.throughput_kbps);
    let after = head.headers.get_str("retry-after").and_then(|t| t.parse().ok()).unwrap_or(0.0);
    Heard {
        status: head.status,
        reason: front.and_then(|h| h.reason.clone()),
        after: Duration::from_secs_f64(after),
        rung: front.and_then(|h| h.rung).unwrap_or(0) as usize,
        share: etp.filter(|_| br > 0).map_or(1.0, |e| (f64::from(e) / f64::from(br)).min(1.0)),
    }
}

impl Audience {
    fn path(&self, v: &Viewer, object: usize) -> String {
        let site = &self.script.front;
        let tenant = site.tenants.get(v.tenant).map_or("none", |t| t.name.as_str());
        format!("/{tenant}/{}/{}/{object}.m4s", site.classes.0[v.class].name.as_str(), v.title)
    }

    fn request(&self, v: &Viewer, sid: &str, object: usize, rung: usize) -> RequestHead {
        let ladder = rates_kbps(&self.script.front, v.class);
        let duration = Millis(self.script.viewers.object_ms.get().as_millis() as u32);
        let mut r = Record {
            sid: Some(sid.into()),
            cid: Some(v.title.as_str().into()),
            tb: ladder.get(v.top).map(|k| Kbps(*k)),
            d: Some(duration),
            ot: Some(ObjectType::Video),
            sf: Some(Format::Hls),
            st: Some(StreamType::OnDemand),
            ..Record::default()
        };
        if object == 0 {
            r.su = true;
        } else {
            r.bl = Some(Millis(duration.0 * 2));
            r.br = ladder.get(rung).map(|k| Kbps(*k));
        }
        let mut query = None;
        let mut extra = None;
        match v.hints {
            HintStyle::Headers => {}
            HintStyle::Query => query = Some(std::mem::take(&mut r)),
            HintStyle::Contradictory => {
                r.br = r.tb.map(|k| Kbps(k.0 + 1000));
                query = Some(Record { br: Some(Kbps(1)), cid: Some("other".into()), ..Record::default() });
            }
            HintStyle::FullBuffer => r.bl = Some(Millis(duration.0 * 4)),
            HintStyle::Garbled => extra = Some("br=fast,ot=zz,unknown=1,\"\",nrr=9,=,bl=-4"),
            HintStyle::ChangingCid => r.cid = Some(format!("{}-{object}", v.title).into()),
        }
        let mut path = self.path(v, object);
        if let Some(q) = &query {
            path = format!("{path}?{QUERY_PARAM}={}", percent_encode(&q.to_line()));
        }
        // Paths are made of names and numbers: always a target.
        let target = Target::parse(path.into()).unwrap_or_else(|| unreachable!("a path of names"));
        let mut head = RequestHead::get(target);
        head.headers.push("host", "front");
        for group in Group::ALL {
            let text = r.to_header(group);
            if !text.is_empty() {
                head.headers.push(group.header(), text);
            }
        }
        if let Some(text) = extra {
            head.headers.push(Group::Object.header(), text);
        }
        head
    }

    /// Calls and waits for the one answer. `None`: there is none to go on with.
    async fn call(&self, v: &Viewer, sid: &Arc<str>, front: usize) -> Result<(ClientConn, Heard), Try> {
        let address = self.fronts.address(front);
        let Ok(Ok(mut conn)) = timeout(CONNECT, connect(address)).await else { return Err(Try::Lost) };
        let class = &self.script.front.classes.0[v.class];
        let patience = class.deadline_ms.get();
        let call = self.next_call.fetch_add(1, Relaxed);
        // `br` over `tb`: the front takes the first for true, and the second for none.
        let top = if v.hints == HintStyle::Contradictory { usize::MAX } else { v.top };
        let (title, class_index) = (v.title.clone(), v.class);
        let begun = self.log.now();
        let called = Seen::Called { call, sid: sid.clone(), front, class: class_index, title, top, patience };
        self.log.put(called);
        // Once a head has come, whatever follows is a break of play and no second answer.
        let done = AtomicBool::new(false);
        let ended = |got: Got| {
            if !done.swap(true, Relaxed) {
                self.log.put(Seen::CallEnded { call, sid: sid.clone(), got });
            }
        };
        let exchange = async {
            conn.send_request(self.request(v, sid, 0, 0), Bytes::new()).await?;
            let head = conn.read_head().await?;
            let waited = self.log.now() - begun;
            let told = heard(&head);
            // The one answer is there with its head; what is cut later is a break of play.
            ended(Got::Status { status: told.status, reason: told.reason.clone() });
            while conn.read_body_chunk().await?.is_some() {}
            Ok::<_, WireError>((told, waited))
        };
        let hang_up = v.hang_up.unwrap_or(patience + Duration::from_secs(60));
        let got = tokio::select! {
            got = timeout(patience + LATE, exchange) => got,
            () = sleep(hang_up) => {
                ended(Got::HungUp);
                return Err(Try::Done);
            }
        };
        let (told, waited) = match got {
            Ok(Ok(told)) => told,
            Ok(Err(_)) => {
                ended(Got::Lost);
                return Err(Try::Lost);
            }
            Err(_) => {
                ended(Got::TimeUp);
                return Err(Try::Again(Duration::ZERO));
            }
        };
        if conn.has_unsolicited_data() {
            self.log.put(Seen::Stray { call, sid: sid.clone() });
        }
        self.tally.answered(told.status, waited);
        match told.status {
            200..=299 => {
                self.tally.playing(v, waited);
                Ok((conn, told))
            }
            // Those of paid classes stay away after a failure (it may have run).
            502 | 504 if class.at_most_once => Err(Try::Done),
            _ => Err(Try::Again(told.after)),
        }
    }

    pub(crate) async fn session(self: Arc<Self>, v: &Viewer, sid: &Arc<str>, front: usize) -> Try {
        if v.twice {
            let (me, v, sid) = (self.clone(), v.clone(), sid.clone());
            tokio::spawn(async move {
                let _ = me.call(&v, &sid, front).await;
            });
        }
        let began = self.log.now();
        let (mut conn, mut told) = match self.call(v, sid, front).await {
            Ok(playing) => playing,
            Err(end) => return end,
        };
        let in_time = self.log.now() - began <= self.script.front.classes.0[v.class].target_setup_ms.get();
        let every = self.script.viewers.object_ms.get();
        let (start, end) = (self.log.now(), v.at + v.length);
        let mut object = 0;
        loop {
            let now = self.log.now();
            if in_time {
                let span = every.min(end.saturating_sub(now));
                self.tally.served(v, now, span, told.rung, told.share);
            }
            let next = start + every * (object as u32 + 1);
            if next >= end {
                sleep(end.saturating_sub(self.log.now())).await;
                self.over(v, sid, &mut conn).await;
                return Try::Done;
            }
            sleep(next.saturating_sub(self.log.now())).await;
            object += 1;
            let sent = self.log.now();
            let got =
                timeout(OBJECT, conn.exchange(self.request(v, sid, object, told.rung), Bytes::new(), MOST))
                    .await;
            match got {
                Ok(Ok((head, _))) if head.status == 200 => {
                    told = heard(&head);
                    self.tally.object(self.log.now() - sent);
                }
                Ok(Ok((head, _))) => {
                    // The front gave the session up; a new one may come.
                    self.log.put(Seen::ViewerOver { sid: sid.clone() });
                    self.tally.broke();
                    return Try::Again(heard(&head).after);
                }
                _ => {
                    // It broke off, or nothing came: the viewer has no session any more and asks for a new one.
                    self.log.put(Seen::ViewerOver { sid: sid.clone() });
                    self.tally.broke();
                    return Try::Again(Duration::ZERO);
                }
            }
        }
    }

    /// Says that it is over, unless it goes without a word.
    async fn over(&self, v: &Viewer, sid: &Arc<str>, conn: &mut ClientConn) {
        if v.silent_end {
            return;
        }
        let record = Record {
            sid: Some((**sid).into()),
            sta: Some(PlayState::Ended),
            e: Some(EventKind::PlayState),
            v: Some(2),
            ..Record::default()
        };
        let body = record.to_line() + "\n";
        let path = self.script.front.mapping.report_path.clone();
        let Some(target) = Target::parse(path.into()) else { return };
        let mut head = RequestHead::post(target, body.len());
        head.headers.push("host", "front");
        head.headers.push("content-type", REPORT_MIME_TYPE);
        self.log.put(Seen::ViewerOver { sid: sid.clone() });
        let _ = timeout(CONNECT, conn.exchange(head, body.into(), MOST)).await;
    }
}
