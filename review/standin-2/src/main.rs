//! The cases of the second review: `review-2 CASE RECORD`, from the repository's root.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` the same is done without
//! the disruption.

mod bad_figures;
mod channel;
mod full_table;
mod manager;
mod record;
mod server;
mod stall;
mod stall_first;
mod stall_late;
mod term;
mod vanish;
mod viewers;

use channel::{entry, event, Channel};
use record::Record;
use server::Server;
use std::sync::Arc;

/// What a case found: whether the rule held, or why it could not run.
pub type Verdict = Result<bool, String>;

/// The servers and the command channel of a small deployment.
pub struct Platform {
    pub record: Record,
    pub servers: Vec<Arc<Server>>,
    pub channel: Arc<Channel>,
    pub trouble: bool,
}

impl Platform {
    fn start(record: &Record, count: usize, told_every_ms: u64) -> Platform {
        let start = |i: usize| Server::start(record, &format!("s-0000000{}", i + 1), i, 80, told_every_ms);
        let servers: Vec<_> = (0..count).map(start).collect();
        let entries: Vec<_> =
            servers.iter().map(|s| entry(&s.name, s.address, s.cell, "in_service", 0)).collect();
        let channel = Channel::start(record, event(1, true, &entries.join(",")));
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        record.line("case", format!("trouble: {trouble}"));
        Platform { record: record.clone(), servers, channel, trouble }
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if let [_, verb, address, count] = &args[..] {
        if verb == "hold" {
            return full_table::hold(address, count.parse().unwrap());
        }
    }
    let [_, case, path] = &args[..] else {
        eprintln!("review-2 CASE RECORD");
        std::process::exit(2);
    };
    let record = Record::create(path);
    let run = || match &**case {
        "full-table" => full_table::run(&Platform::start(&record, 3, 4_900)),
        "stall" => stall::run(&Platform::start(&record, 3, 4_900)),
        "stall-first" => stall_first::run(&Platform::start(&record, 3, 4_900)),
        "stall-late" => stall_late::run(&Platform::start(&record, 6, 4_900)),
        "bad-figures" => bad_figures::run(&Platform::start(&record, 3, 4_900)),
        "term" => term::run(&Platform::start(&record, 3, 4_900)),
        "vanish" => vanish::run(&Platform::start(&record, 5, vanish::TOLD_EVERY_MS)),
        _ => Err("no such case".to_owned()),
    };
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    let (text, code) = match verdict {
        Ok(Ok(true)) => ("the rule held".to_owned(), 0),
        Ok(Ok(false)) => ("the rule was broken".to_owned(), 1),
        Ok(Err(why)) => (format!("could not run: {why}"), 2),
        Err(_) => ("could not run: a stand-in failed".to_owned(), 2),
    };
    record.verdict(text);
    std::process::exit(code);
}
