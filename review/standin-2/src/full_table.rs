//! Other session managers take all connections of a video server. Those that it has, and its sessions, stand.

use crate::manager::{Manager, Site};
use crate::record::{sleep, wait_for};
use crate::server::{AtCap, Server};
use crate::viewers::{session, title, Setup, Viewers};
use crate::{Platform, Verdict};
use std::io::Read;
use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering::SeqCst;

/// Connections that a server takes: 2 cores of 410, the fewest of the site file.
const CAP: usize = 820;
/// Sessions of one title and class that a session manager may hold.
const SEATS: usize = 2;
const CLASS: &str = "signoff-briefing";
const ROUTE: &str = "home:0;copies:3;top:3";
const TITLE: &str = "7f3a9c21e0b4d655";

/// Opens connections to a server, as other session managers do, and holds them until standard input ends.
pub fn hold(address: &str, count: usize) {
    let open = |_| TcpStream::connect(address).ok();
    let held: Vec<_> = (0..count).map(open).collect();
    println!("{}", held.iter().flatten().count());
    let _ = std::io::stdin().read(&mut [0]);
}

fn others(server: &Server, count: usize) -> Result<Child, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    Command::new(program)
        .args(["hold", &server.address.to_string(), &count.to_string()])
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .spawn()
        .map_err(|e| e.to_string())
}

pub fn run(p: &Platform) -> Verdict {
    let at_cap = match std::env::var("FULL").as_deref() {
        Ok("refuse") => AtCap::Refuse,
        Ok("reset") => AtCap::Reset,
        _ => AtCap::Silent,
    };
    for server in &p.servers {
        server.cap.store(CAP, SeqCst);
        *server.at_cap.lock().unwrap() = at_cap;
    }
    let site = Site { managers: 2, places: 3, told_every_ms: 4_900, seats: SEATS };
    let manager = Manager::start(&p.record, &site, 0, &p.channel);
    let front = Viewers::connect(&p.record, "viewers", manager.address).map_err(|e| e.to_string())?;
    let setup = |n: usize, title: &str| {
        let sid = session(n);
        front.setup(&Setup { sid: &sid, class: CLASS, title, wait_ms: 3_000, route: ROUTE });
        sid
    };
    // All seats of the title are taken.
    let mut mine: Vec<String> = (0..SEATS).map(|n| setup(n, TITLE)).collect();
    for sid in &mine {
        front.answer(sid, 3.0).filter(|a| a.1 == 200).ok_or("a session of the beginning is not set up")?;
    }
    let full = p.servers.iter().find(|s| !s.standing(TITLE, CLASS).is_empty()).ok_or("no session stands")?;
    let mut holder = None;
    if p.trouble {
        holder = Some(others(full, CAP - full.open_connections())?);
        if !wait_for(20.0, || full.open_connections() >= CAP) {
            return Err(format!("{} has only {} connections", full.name, full.open_connections()));
        }
    }
    let before = *full.last_note_at.lock().unwrap();
    wait_for(6.0, || *full.last_note_at.lock().unwrap() > before);
    sleep(1.2);
    // Set-ups of other titles, as on any day, on one connection.
    let others: Vec<_> = (10..19).map(|n| (session(n), title(n))).collect();
    let one = |(sid, title)| Setup { sid, class: CLASS, title, wait_ms: 3_000, route: ROUTE };
    front.setups(&others.iter().map(|(sid, title)| one((sid, title))).collect::<Vec<_>>());
    for (sid, _) in &others {
        front.answer(sid, 4.0).ok_or("a set-up was not answered")?;
    }
    let mut most = 0;
    let mut next = 100;
    // Viewers whose session was released come again after 1 s, under a new id.
    for _ in 0..80 {
        for sid in mine.clone() {
            if front.release(&sid).is_some_and(|(at, _)| p.record.now() > at + 1.0) {
                mine.retain(|s| *s != sid);
                mine.push(setup(next, TITLE));
                next += 1;
            }
        }
        most = most.max(p.servers.iter().map(|s| s.standing(TITLE, CLASS).len()).sum());
        sleep(0.05);
    }
    for n in (0..SEATS).chain(100..next) {
        let sid = session(n);
        let at = p.servers.iter().find(|s| s.holds(&sid)).map_or("no server", |s| &s.name);
        let answer = front.answer(&sid, 0.0).map_or("none".into(), |a| a.1.to_string());
        let release = front
            .release(&sid)
            .map_or("no release".into(), |(t, why)| format!("released at {t:.3} s, {why}"));
        p.record.verdict(format!("{sid} of the title: answer {answer}, {release}; stands at {at}"));
    }
    p.record.verdict(format!("at most {most} sessions of the title stood, with {SEATS} seats"));
    if let Some(mut holder) = holder {
        let _ = holder.kill();
        let _ = holder.wait();
    }
    Ok(most <= SEATS)
}
