//! Runs any number of [`cloverhollow::SessionPolicy`] instances for the bench, which writes messages to standard
//! input and reads replies from standard output. A batch holds the messages of one instant; the reply to it
//! holds the actions of all instances.

use cloverhollow::{Event, SessionPolicy};
use cloverhollow_drill::wire::{self, WireError};
use cloverhollow_platform::settings::Names;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::time::Duration;

#[derive(Default)]
struct Drill {
    /// Time of the current batch.
    now: Duration,
    in_batch: bool,
    instances: BTreeMap<String, (SessionPolicy, Names)>,
    /// Undecoded server lists, by pool number.
    pools: BTreeMap<u64, Value>,
    /// Events of the current batch, by instance.
    events: BTreeMap<String, Vec<Event>>,
}

impl Drill {
    /// Handles one line; returns the reply if the line ends a batch.
    fn handle_line(&mut self, line: &str) -> Result<Option<String>, WireError> {
        let mut message = wire::parse_message(line)?;
        if !self.in_batch {
            if message.verb != "begin-batch" {
                return Err(format!("`{}` outside a batch", message.verb));
            }
            self.now = wire::begin_batch(message)?;
            self.in_batch = true;
            return Ok(None);
        }
        match message.verb.as_str() {
            "eob" => {
                self.in_batch = false;
                return Ok(Some(self.reply()));
            }
            "pool" => {
                let (number, hosts) = wire::pool(message)?;
                self.pools.insert(number, hosts);
                return Ok(None);
            }
            _ => {}
        }
        let id: String = message.take("manager-id")?;
        match message.verb.as_str() {
            "power-on" => {
                let (seed, settings, names) = wire::power_on(message)?;
                self.events.insert(id.clone(), Vec::new());
                self.instances.insert(id, (SessionPolicy::new(settings, seed), names));
                return Ok(None);
            }
            "kill" => {
                self.instances.remove(&id);
                self.events.remove(&id);
                return Ok(None);
            }
            _ => {}
        }
        let Some((_, names)) = self.instances.get(&id) else {
            return Err(format!("{}: instance `{id}` is not running", message.verb));
        };
        let event = if message.verb == "membership" {
            let (mode, pool) = wire::membership(message)?;
            let entries = match pool {
                None => Vec::new(),
                Some(number) => {
                    let hosts =
                        self.pools.get(&number).ok_or_else(|| format!("membership: no pool {number}"))?;
                    wire::entries(hosts, names)?
                }
            };
            Some(Event::ListUpdate(mode, entries))
        } else {
            wire::event(message, names)?
        };
        self.events.entry(id).or_default().extend(event);
        Ok(None)
    }

    /// Ends a batch: steps all instances with their events and returns their actions.
    fn reply(&mut self) -> String {
        let mut out = String::new();
        for (id, events) in std::mem::take(&mut self.events) {
            let Some((policy, _)) = self.instances.get_mut(&id) else { continue };
            for action in policy.step(self.now, &events) {
                out.push_str(&wire::encode_action(&id, &action));
                out.push('\n');
            }
        }
        out.push_str("{\"verb\":\"ok\"}\n");
        out
    }
}

fn run() -> Result<(), WireError> {
    let mut drill = Drill::default();
    let mut out = std::io::stdout().lock();
    for (n, line) in std::io::stdin().lock().lines().enumerate() {
        let with_line_number = |e: &dyn std::fmt::Display| format!("line {}: {e}", n + 1);
        let line = line.map_err(|e| with_line_number(&e))?;
        if line.trim().is_empty() {
            continue;
        }
        if let Some(reply) = drill.handle_line(&line).map_err(|e| with_line_number(&e))? {
            out.write_all(reply.as_bytes()).and_then(|()| out.flush()).map_err(|e| with_line_number(&e))?;
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
        Err(error) => {
            eprintln!("cloverhollow-drill: {error}");
            std::process::ExitCode::FAILURE
        }
    }
}
