//! Bad clients send set-ups with figures that are out of range or no number.

use crate::manager::{Manager, Site};
use crate::viewers::{session, title, Setup, Viewers};
use crate::{Platform, Verdict};

pub fn run(p: &Platform) -> Verdict {
    let site = Site { managers: 1, places: 3, told_every_ms: 4_900, seats: 0 };
    let manager = Manager::start(&p.record, &site, 0, &p.channel);
    let bad = [
        "home:777;copies:3;top:3;viewer:00000000b4d65521",
        "home:0;copies:777;top:3;viewer:00000000b4d65521",
        "home:0;copies:3;top:3;viewer:hello",
    ];
    let good = ["home:0;copies:3;top:3;viewer:00000000b4d65521"];
    let mut held = true;
    for (n, route) in if p.trouble { &bad[..] } else { &good[..] }.iter().enumerate() {
        let client = Viewers::connect(&p.record, "client", manager.address).map_err(|e| e.to_string())?;
        let (sid, title) = (session(n), title(n));
        client.setup(&Setup { sid: &sid, class: "shift-clip", title: &title, wait_ms: 3_000, route });
        let answer = client.answer(&sid, 3.2).map(|a| a.1);
        p.record.verdict(format!("X-Route: {route}: answer {answer:?}"));
        held &= if p.trouble { answer != Some(200) } else { answer == Some(200) };
    }
    Ok(held)
}
