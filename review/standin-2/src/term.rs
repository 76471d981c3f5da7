//! A planned restart: a session ends while its session manager is about to end.

use crate::manager::{Manager, Site, SIGTERM};
use crate::record::{sleep, wait_for};
use crate::viewers::{session, title, Setup, Viewers};
use crate::{Platform, Verdict};

pub fn run(p: &Platform) -> Verdict {
    let site = Site { managers: 1, places: 3, told_every_ms: 4_900, seats: 0 };
    let mut manager = Manager::start(&p.record, &site, 0, &p.channel);
    let front = Viewers::connect(&p.record, "viewers", manager.address).map_err(|e| e.to_string())?;
    let ids: Vec<_> = (0..6).map(|n| (session(n), title(n))).collect();
    for (sid, title) in &ids {
        front.setup(&Setup {
            sid,
            class: "audio-update",
            title,
            wait_ms: 5_000,
            route: "home:0;copies:3;top:0",
        });
        front.answer(sid, 3.0).filter(|a| a.1 == 200).ok_or("a session of the beginning is not set up")?;
    }
    let start = p.record.now();
    if p.trouble {
        manager.signal(SIGTERM, "SIGTERM");
    }
    let server = p.servers.iter().find(|s| s.holds(&ids[0].0)).unwrap().clone();
    sleep(start + 4.2 - p.record.now());
    let end = server.end(&ids[0].0);
    wait_for(4.0, || manager.ended());
    p.record.line("n0", format!("ended {:.3} s after SIGTERM", p.record.now() - start));
    sleep(0.3);
    let mut again = None;
    if p.trouble {
        manager.restart(&site, 0, &p.channel);
        let front = Viewers::connect(&p.record, "viewers2", manager.address).map_err(|e| e.to_string())?;
        front.test(1.0);
        for (sid, title) in &ids {
            let at = p.servers.iter().find(|s| s.sessions.lock().unwrap().contains_key(sid)).unwrap();
            let route = format!("home:0;copies:3;top:0;at:{}", at.name);
            front.setup(&Setup { sid, class: "audio-update", title, wait_ms: 4_000_000, route: &route });
        }
        sleep(5.0);
        again = front.release(&ids[0].0);
    }
    let release = front.release(&ids[0].0).or(again).map(|r| r.0 - end);
    p.record.verdict(format!("released {release:?} s after its release by the server"));
    Ok(release.is_some_and(|t| t <= 1.05))
}
