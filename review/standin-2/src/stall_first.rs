//! A session manager stands still while the first set-up comes on connections of viewers.

use crate::manager::{Manager, Site, SIGCONT, SIGSTOP};
use crate::record::sleep;
use crate::viewers::{session, title, Setup, Viewers};
use crate::{Platform, Verdict};

const VIEWERS: usize = 20;
/// How long a viewer waits, and from when on an answer is lost: half a second after its time, and 50 ms.
const WAIT_MS: u64 = 3_000;
const LATEST: f64 = 3.0 + 0.5 + 0.05;

pub fn run(p: &Platform) -> Verdict {
    let site = Site { managers: 2, places: 3, told_every_ms: 4_900, seats: 0 };
    // Two session managers, one of which stands still: half of them; the site file has up to 0.81.
    let stalled = Manager::start(&p.record, &site, 0, &p.channel);
    let _other = Manager::start(&p.record, &site, 1, &p.channel);
    let connect = |n| Viewers::connect(&p.record, &format!("viewer {n}"), stalled.address);
    let viewers: Vec<_> = (0..VIEWERS).map(connect).collect::<Result<_, _>>().map_err(|e| e.to_string())?;
    sleep(0.5);
    let start = p.record.now();
    if p.trouble {
        stalled.signal(SIGSTOP, "SIGSTOP: it stands still");
    }
    let mut sent = Vec::new();
    for (n, viewer) in viewers.iter().enumerate() {
        sleep(start + 0.1 + n as f64 * 0.04 - p.record.now());
        let (sid, title, route) = (session(n), title(n), "home:0;copies:3;top:0");
        sent.push((p.record.now(), sid.clone()));
        viewer.setup(&Setup { sid: &sid, class: "shift-clip", title: &title, wait_ms: WAIT_MS, route });
    }
    sleep(start + 1.9 - p.record.now());
    if p.trouble {
        stalled.signal(SIGCONT, "SIGCONT: it goes on after 1.9 s");
    }
    sleep(start + 0.9 + LATEST + 0.2 - p.record.now());
    let mut held = true;
    for (n, (viewer, (at, sid))) in viewers.iter().zip(&sent).enumerate() {
        let ended = viewer.heard.lock().unwrap().ended_at;
        match viewer.answer(sid, 0.0) {
            Some((t, status)) if t <= at + LATEST => {
                p.record.line("case", format!("viewer {n}: {status} after {:.3} s", t - at));
            }
            answer => {
                held = false;
                let end = ended
                    .map_or("open".into(), |t| format!("closed {:.3} s after the set-up was sent", t - at));
                p.record.verdict(format!("viewer {n}: answer to {sid}: {answer:?}; its connection is {end}"));
            }
        }
    }
    Ok(held)
}
