//! A session manager stands still while the command channel tells that a video server drains.

use crate::channel::entry;
use crate::manager::{Manager, Site, SIGCONT, SIGSTOP};
use crate::record::sleep;
use crate::viewers::{session, title, Setup, Viewers};
use crate::{Platform, Verdict};

/// `invariants.drain-grace`, and the 50 ms that every time limit has on the sockets.
const GRACE: f64 = 0.250 + 0.050;
/// Connections of viewers with one set-up each, and set-ups a second: DAYS.md has up to 90.
const VIEWERS: usize = 75;
const RATE: f64 = 90.0;

pub fn run(p: &Platform) -> Verdict {
    let site = Site { managers: 2, places: 3, told_every_ms: 4_900, seats: 0 };
    // Two session managers, one of which stands still: half of them; the site file has up to 0.81.
    let stalled = Manager::start(&p.record, &site, 0, &p.channel);
    let _other = Manager::start(&p.record, &site, 1, &p.channel);
    let front = Viewers::connect(&p.record, "viewers", stalled.address).map_err(|e| e.to_string())?;
    let setup = |viewers: &Viewers, n: usize| {
        let (sid, title, route) = (session(n), title(n), "home:0;copies:3;top:0");
        viewers.setup(&Setup { sid: &sid, class: "shift-clip", title: &title, wait_ms: 3_000, route });
        sid
    };
    // Sessions as on any day: each server has one or more, and a connection.
    for n in 0..6 {
        let sid = setup(&front, n);
        front.answer(&sid, 3.0).filter(|a| a.1 == 200).ok_or("a session of the beginning is not set up")?;
    }
    let connect = |_| Viewers::connect(&p.record, "viewers", stalled.address).map_err(|e| e.to_string());
    let fronts: Vec<_> = (0..VIEWERS).map(connect).collect::<Result<_, _>>()?;
    for viewers in &fronts {
        viewers.test(2.0).then_some(()).ok_or("a connection of viewers does not work")?;
    }
    p.channel.wait_comment();
    if p.trouble {
        stalled.signal(SIGSTOP, "SIGSTOP: it stands still");
    }
    let start = p.record.now();
    let mut sids = Vec::new();
    for (n, viewers) in fronts.iter().enumerate() {
        sleep(start + n as f64 / RATE - p.record.now());
        sids.push(setup(viewers, 100 + n));
    }
    sleep(start + 0.9 - p.record.now());
    let drained = &p.servers[1];
    let told = p.channel.tell(&entry(&drained.name, drained.address, drained.cell, "terminating", 0));
    sleep(start + 1.9 - p.record.now());
    if p.trouble {
        stalled.signal(SIGCONT, "SIGCONT: it goes on after 1.9 s");
    }
    sleep(1.5);
    let answered = |(viewers, sid): &(&Viewers, &String)| viewers.answer(sid, 0.0).is_some();
    let answers = fronts.iter().zip(&sids).filter(answered).count();
    p.record.verdict(format!("{answers} of {VIEWERS} set-ups were answered"));
    let sessions = drained.sessions.lock().unwrap();
    let late: Vec<_> = sessions.iter().filter(|(_, s)| s.came_at > told + GRACE).collect();
    for (sid, session) in &late {
        let after = session.came_at - told;
        p.record.verdict(format!(
            "{} got the set-up of {sid} {after:.3} s after it was told to drain",
            drained.name
        ));
    }
    Ok(late.is_empty())
}
