//! A session manager stands still while set-ups come, and one video server in six takes work and answers nothing.

use crate::manager::{Manager, Site, SIGCONT, SIGSTOP};
use crate::record::sleep;
use crate::viewers::{session, title, Setup, Viewers};
use crate::{Platform, Verdict};
use std::sync::atomic::Ordering::SeqCst;

const VIEWERS: usize = 20;
/// How long a viewer waits, and from when on an answer is lost: half a second after its time, and 50 ms.
const WAIT_MS: u64 = 3_000;
const LATEST: f64 = 3.0 + 0.5 + 0.05;

pub fn run(p: &Platform) -> Verdict {
    let site = Site { managers: 2, places: 6, told_every_ms: 4_900, seats: 0 };
    let stalled = Manager::start(&p.record, &site, 0, &p.channel);
    let _other = Manager::start(&p.record, &site, 1, &p.channel);
    let connect = |n| Viewers::connect(&p.record, &format!("viewer {n}"), stalled.address);
    let viewers: Vec<_> = (0..VIEWERS).map(connect).collect::<Result<_, _>>().map_err(|e| e.to_string())?;
    for viewer in &viewers {
        viewer.test(2.0).then_some(()).ok_or("a connection of viewers does not work")?;
    }
    p.servers[3].hangs.store(true, SeqCst);
    let start = p.record.now();
    if p.trouble {
        stalled.signal(SIGSTOP, "SIGSTOP: it stands still");
    }
    let mut sent = Vec::new();
    for (n, viewer) in viewers.iter().enumerate() {
        sleep(start + 0.1 + n as f64 * 0.02 - p.record.now());
        let (sid, title, route) = (session(n), title(n), "home:0;copies:6;top:0");
        sent.push((p.record.now(), sid.clone()));
        viewer.setup(&Setup { sid: &sid, class: "signoff-briefing", title: &title, wait_ms: WAIT_MS, route });
    }
    sleep(start + 1.9 - p.record.now());
    if p.trouble {
        stalled.signal(SIGCONT, "SIGCONT: it goes on after 1.9 s");
    }
    sleep(start + 6.0 - p.record.now());
    let mut held = true;
    for (n, (viewer, (at, sid))) in viewers.iter().zip(&sent).enumerate() {
        let answer = viewer.answer(sid, 0.0).map(|(t, status)| (t - at, status));
        if answer.is_none_or(|(after, _)| after > LATEST) {
            held = false;
            p.record.verdict(format!(
                "viewer {n}: {sid} answered {answer:?} (seconds after it was sent, status)"
            ));
        }
    }
    Ok(held)
}
