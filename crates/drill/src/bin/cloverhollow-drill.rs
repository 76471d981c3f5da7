//! Hosts any number of [`cloverhollow::SessionPolicy`]s on the drill's wire: standard input to standard output.

use cloverhollow::{Event, SessionPolicy};
use cloverhollow_drill::wire::{self, Fault};
use cloverhollow_platform::settings::Names;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::time::Duration;

#[derive(Default)]
struct Drill {
    clock: Duration,
    in_batch: bool,
    instances: BTreeMap<String, (SessionPolicy, Names)>,
    pools: BTreeMap<u64, Value>,
    waiting: BTreeMap<String, Vec<Event>>,
}

impl Drill {
    /// Takes one line; gives the reply when the line ends a batch.
    fn line(&mut self, line: &str) -> Result<Option<String>, Fault> {
        let mut m = wire::message(line)?;
        if !self.in_batch {
            if m.verb != "begin-batch" {
                return Err(format!("`{}` outside a batch", m.verb));
            }
            self.clock = wire::clock(m)?;
            self.in_batch = true;
            return Ok(None);
        }
        match m.verb.as_str() {
            "eob" => {
                self.in_batch = false;
                return Ok(Some(self.reply()));
            }
            "pool" => {
                let (page, hosts) = wire::pool(m)?;
                self.pools.insert(page, hosts);
                return Ok(None);
            }
            _ => {}
        }
        let id: String = m.take("manager-id")?;
        match m.verb.as_str() {
            "power-on" => {
                let (seed, settings, names) = wire::power_on(m)?;
                self.waiting.insert(id.clone(), Vec::new());
                self.instances.insert(id, (SessionPolicy::new(settings, seed), names));
                return Ok(None);
            }
            "kill" => {
                self.instances.remove(&id);
                self.waiting.remove(&id);
                return Ok(None);
            }
            _ => {}
        }
        let Some((_, names)) = self.instances.get(&id) else {
            return Err(format!("{}: instance `{id}` is not running", m.verb));
        };
        let event = if m.verb == "membership" {
            let (mode, page) = wire::membership(m)?;
            let entries = match page {
                None => Vec::new(),
                Some(n) => {
                    let hosts = self.pools.get(&n).ok_or_else(|| format!("membership: no pool {n}"))?;
                    wire::entries(hosts, names)?
                }
            };
            Some(Event::ListUpdate(mode, entries))
        } else {
            wire::event(m, names)?
        };
        self.waiting.entry(id).or_default().extend(event);
        Ok(None)
    }

    fn reply(&mut self) -> String {
        let mut out = String::new();
        for (id, events) in std::mem::take(&mut self.waiting) {
            let Some((brain, _)) = self.instances.get_mut(&id) else { continue };
            for action in brain.step(self.clock, &events) {
                out.push_str(&wire::action(&id, &action));
                out.push('\n');
            }
        }
        out.push_str("{\"verb\":\"ok\"}\n");
        out
    }
}

fn run() -> Result<(), Fault> {
    let mut drill = Drill::default();
    let mut out = std::io::stdout().lock();
    for (n, line) in std::io::stdin().lock().lines().enumerate() {
        let at = |e: &dyn std::fmt::Display| format!("line {}: {e}", n + 1);
        let line = line.map_err(|e| at(&e))?;
        if line.trim().is_empty() {
            continue;
        }
        if let Some(reply) = drill.line(&line).map_err(|e| at(&e))? {
            out.write_all(reply.as_bytes()).and_then(|()| out.flush()).map_err(|e| at(&e))?;
        }
    }
    if drill.in_batch {
        return Err("the input ended inside a batch".into());
    }
    Ok(())
}

fn main() -> std::process::ExitCode {
    match run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("cloverhollow-drill: {fault}");
            std::process::ExitCode::FAILURE
        }
    }
}
