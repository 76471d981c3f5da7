//! Stand-ins of the review's cases: viewers, video servers and a command channel, and the plays of the cases.
//! `review-standin N RECORD` plays case N. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.

mod cases;
mod channel;
mod node;
mod record;
mod server;
mod server_state;
mod viewer;

use record::Record;

/// Ends the run as one that could not be played.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    std::process::exit(2)
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if let [_, fill, address, count] = &args[..] {
        if fill == "fill" {
            return server::fill(address, count.parse().unwrap_or(0));
        }
    }
    let [_, case, path] = &args[..] else { cannot_run("usage: review-standin CASE RECORD") };
    let record = Record::create(path);
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    record.note("run", &format!("case {case}, trouble: {trouble}"));
    // A panic in any thread means that the case could not be played.
    std::panic::set_hook(Box::new(|info| cannot_run(&info.to_string())));
    let broken = match case.as_str() {
        "connections" => cases::connections::play(&record, trouble),
        "release" => cases::release::play(&record, trouble),
        "replaced" => cases::replaced::play(&record, trouble),
        "discovery" => cases::discovery::play(&record, trouble),
        "descriptors" => cases::descriptors::play(&record, trouble),
        "vanish" => cases::vanish::play(&record, trouble),
        _ => cannot_run("no such case"),
    };
    for line in &broken {
        println!("broken: {line}");
        record.note("verdict", &format!("broken: {line}"));
    }
    if broken.is_empty() {
        println!("the rule held");
        record.note("verdict", "the rule held");
    }
    std::process::exit(i32::from(!broken.is_empty()))
}
