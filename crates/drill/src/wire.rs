//! The drill's wire: JSON lines in, JSON lines out. Translation only; nothing is decided here.

use cloverhollow::*;
use cloverhollow_platform::settings::{self, duration_from_ms, index_of, whole_number, Names};
use serde::{de::DeserializeOwned, Deserialize};
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::time::Duration;

/// What is wrong with a line.
pub type Fault = String;

fn millis(d: Duration) -> f64 {
    d.as_micros() as f64 / 1e3
}

fn parse<T: DeserializeOwned>(value: Value) -> Result<T, Fault> {
    serde_json::from_value(value).map_err(|e| e.to_string())
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireEntry {
    server: u64,
    #[serde(default)]
    az: String,
    #[serde(default)]
    class_of_host: String,
    #[serde(default)]
    slot_no: u64,
    mode: String,
    nominal: Option<f64>,
    boot_time: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireCall {
    #[serde(rename = "ref")]
    request: u64,
    #[serde(default)]
    programme: u64,
    class: String,
    project: Option<Value>,
    top_rung: Option<f64>,
    #[serde(default)]
    from_cell: f64,
    #[serde(default)]
    cells_in_row: f64,
    valid_until: f64,
    #[serde(default)]
    came_back: bool,
    #[serde(default)]
    repeat: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireTold {
    #[serde(rename = "ref")]
    request: u64,
    #[serde(default)]
    hop: u32,
    server: u64,
    #[serde(default)]
    kind: u32,
    #[serde(default)]
    level: f64,
    #[serde(default)]
    how: String,
    #[serde(default)]
    cost_time: f64,
    #[serde(default)]
    complete: bool,
    #[serde(default)]
    gauge: BTreeMap<String, f64>,
}

/// The fields of one message, its name taken out.
pub struct Message {
    /// The name of the message.
    pub verb: String,
    /// Its other fields.
    pub fields: Map<String, Value>,
}

/// Reads one line as a message.
pub fn message(line: &str) -> Result<Message, Fault> {
    let value: Value = serde_json::from_str(line).map_err(|e| e.to_string())?;
    let Value::Object(mut fields) = value else { return Err("not an object".into()) };
    match fields.remove("verb") {
        Some(Value::String(verb)) => Ok(Message { verb, fields }),
        _ => Err("no key `verb` with a text".into()),
    }
}

impl Message {
    /// Takes a field out; it must be there.
    pub fn take<T: DeserializeOwned>(&mut self, key: &str) -> Result<T, Fault> {
        let value = self.fields.remove(key).ok_or_else(|| format!("{}: no `{key}`", self.verb))?;
        serde_json::from_value(value).map_err(|e| format!("{}: `{key}`: {e}", self.verb))
    }

    fn body<T: DeserializeOwned>(self) -> Result<T, Fault> {
        let verb = self.verb;
        parse(Value::Object(self.fields)).map_err(|e| format!("{verb}: {e}"))
    }
}

/// The clock of a `begin-batch`.
pub fn clock(mut m: Message) -> Result<Duration, Fault> {
    Ok(duration_from_ms(m.take("clock")?))
}

/// The seed and settings of a `power-on`.
pub fn power_on(mut m: Message) -> Result<(u64, Settings, Names), Fault> {
    let seed = m.take("prng")?;
    let site = settings::read(m.take("setup")?).map_err(|e| format!("power-on: {e}"))?;
    Ok((seed, site.settings, site.names))
}

/// The number and raw entries of a `pool`; entries are read per instance by [`entries`].
pub fn pool(mut m: Message) -> Result<(u64, Value), Fault> {
    Ok((m.take("page")?, m.take("hosts")?))
}

/// The entries of a pool under an instance's names.
pub fn entries(hosts: &Value, names: &Names) -> Result<Vec<ListEntry>, Fault> {
    let list: Vec<WireEntry> = parse(hosts.clone()).map_err(|e| format!("pool: {e}"))?;
    let state = |mode: &str| match mode {
        "SERVING" => Ok(ServerState::Serving),
        "DRAINING" => Ok(ServerState::Draining),
        "DELETED" => Ok(ServerState::Removed),
        other => Err(format!("pool: unknown mode `{other}`")),
    };
    list.into_iter()
        .map(|e| {
            Ok(ListEntry {
                server: e.server,
                shared_key: e.server,
                cell: e.slot_no,
                kind: index_of(&names.kinds, &e.class_of_host).unwrap_or(0),
                weight: e.nominal.unwrap_or(1.0),
                state: state(&e.mode)?,
                started_at: duration_from_ms(e.boot_time.unwrap_or(0.0)),
                in_other_zone: e.az != names.zone,
            })
        })
        .collect()
}

/// The mode and pool number of a `membership`.
pub fn membership(mut m: Message) -> Result<(ListMode, Option<u64>), Fault> {
    let mode = match m.take::<String>("mode")?.as_str() {
        "patch" => ListMode::Patch,
        "whole" => ListMode::Full,
        "stale_copy" => ListMode::Stale,
        "broken" => return Ok((ListMode::Failed, None)),
        other => return Err(format!("membership: unknown mode `{other}`")),
    };
    Ok((mode, Some(m.take("page")?)))
}

fn call(w: WireCall, names: &Names) -> Result<SessionRequest, Fault> {
    let class = index_of(&names.classes, &w.class).ok_or_else(|| format!("unknown class `{}`", w.class))?;
    Ok(SessionRequest {
        id: w.request,
        title: w.programme,
        class,
        tenant: w.project.as_ref().and_then(Value::as_str).and_then(|p| index_of(&names.tenants, p)),
        max_rung: w.top_rung.map_or(usize::MAX, whole_number),
        first_cell: whole_number(w.from_cell) as u64,
        cell_count: whole_number(w.cells_in_row) as u64,
        deadline: duration_from_ms(w.valid_until),
        is_repeat: w.came_back || w.repeat,
    })
}

/// An event of one instance; `None` for one that the module has no use for.
pub fn event(mut m: Message, names: &Names) -> Result<Option<Event>, Fault> {
    Ok(Some(match m.verb.as_str() {
        "call" => Event::Request(call(m.body()?, names)?),
        "adopted" => {
            let server = m.take("server")?;
            Event::Adopted(call(m.body()?, names)?, server)
        }
        "head-received" => {
            let t: WireTold = m.body()?;
            Event::Playing(t.request, t.hop, t.server, duration_from_ms(t.cost_time))
        }
        "note" => {
            let t: WireTold = m.body()?;
            let note = match t.kind {
                1 => SessionReport::DeliveredShare(t.level),
                2 => SessionReport::Rung(whole_number(t.level)),
                3 => SessionReport::LinkLoad(t.level),
                4 => SessionReport::UplinkLoad(t.level),
                _ => return Ok(None),
            };
            Event::SessionReport(t.request, t.server, note)
        }
        "attempt-end" => {
            let t: WireTold = m.body()?;
            let outcome = match t.how.as_str() {
                "ok" => AttemptOutcome::Ok,
                "error" => AttemptOutcome::Error,
                "full" => AttemptOutcome::Full,
                "timeout" => AttemptOutcome::Timeout,
                "connect_failed" => AttemptOutcome::ConnectFailed,
                "reset" => AttemptOutcome::Reset,
                "cancelled" => AttemptOutcome::Cancelled,
                "moot" => AttemptOutcome::NotSent,
                other => return Err(format!("attempt-end: unknown outcome `{other}`")),
            };
            let told = |name: &str| t.gauge.get(name).copied();
            let report = LoadReport { link_load: told("x0").or(told("load_share")), uplink_load: told("x1") };
            Event::AttemptEnded(t.request, t.hop, t.server, outcome, t.complete, report)
        }
        "cancelled-by-client" => Event::ViewerLeft(m.take("ref")?),
        "ring" => Event::Timer(m.take("token")?),
        "health" | "datagram" => return Ok(None),
        other => return Err(format!("unknown verb `{other}`")),
    }))
}

/// An action as a line of the wire.
pub fn action(instance: &str, action: &Action) -> String {
    let mut value = match action {
        Action::Send(r, s, within) => {
            json!({"verb": "pass-on", "ref": r, "server": s, "within": millis(*within)})
        }
        Action::SetRung(r, rung) => json!({"verb": "step-to", "ref": r, "tier-no": rung}),
        Action::Refuse(r, after) => json!({"verb": "refuse", "ref": r, "hold-off": millis(*after)}),
        Action::Fail(r) => json!({"verb": "finish-error", "ref": r}),
        Action::SetTimer(after, token) => json!({"verb": "arm", "sleep-for": millis(*after), "token": token}),
        Action::Subscribe => json!({"verb": "listen", "enable": true}),
        Action::Log(words) => json!({"verb": "trace", "words": words}),
    };
    value["manager-id"] = instance.into();
    value.to_string()
}
