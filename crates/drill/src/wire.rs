//! Wire protocol of the bench: translation of JSON lines to events and of actions to JSON lines.

use cloverhollow::*;
use cloverhollow_platform::settings::{self, duration_from_ms, index_of, whole_number, Names};
use serde::{de::DeserializeOwned, Deserialize};
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::time::Duration;

/// Description of an error in a line.
pub type WireError = String;

fn millis(d: Duration) -> f64 {
    d.as_micros() as f64 / 1e3
}

fn parse<T: DeserializeOwned>(value: Value) -> Result<T, WireError> {
    serde_json::from_value(value).map_err(|e| e.to_string())
}

/// Entry of a `pool` message: one server.
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

/// Fields of the messages with a session request: `call` and `adopted`.
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

/// Fields of the messages on a session: `head-received`, `note` and `attempt-end`. `hop` is the attempt's index.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WireSessionEvent {
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

/// A message of the protocol, not yet decoded.
pub struct Message {
    /// Name of the message.
    pub verb: String,
    /// All fields except the name.
    pub fields: Map<String, Value>,
}

/// Parses one line as a message.
pub fn parse_message(line: &str) -> Result<Message, WireError> {
    let value: Value = serde_json::from_str(line).map_err(|e| e.to_string())?;
    let Value::Object(mut fields) = value else { return Err("not an object".into()) };
    match fields.remove("verb") {
        Some(Value::String(verb)) => Ok(Message { verb, fields }),
        _ => Err("no string field `verb`".into()),
    }
}

impl Message {
    /// Removes a required field and returns its value.
    pub fn take<T: DeserializeOwned>(&mut self, key: &str) -> Result<T, WireError> {
        let value = self.fields.remove(key).ok_or_else(|| format!("{}: no `{key}`", self.verb))?;
        serde_json::from_value(value).map_err(|e| format!("{}: `{key}`: {e}", self.verb))
    }

    /// Decodes the remaining fields.
    fn body<T: DeserializeOwned>(self) -> Result<T, WireError> {
        let verb = self.verb;
        parse(Value::Object(self.fields)).map_err(|e| format!("{verb}: {e}"))
    }
}

/// Decodes a `begin-batch` message; returns its time.
pub fn begin_batch(mut message: Message) -> Result<Duration, WireError> {
    Ok(duration_from_ms(message.take("clock")?))
}

/// Decodes a `power-on` message; returns the seed, the settings, and the names for which indices stand.
pub fn power_on(mut message: Message) -> Result<(u64, Settings, Names), WireError> {
    let seed = message.take("prng")?;
    let site = settings::read(message.take("setup")?).map_err(|e| format!("power-on: {e}"))?;
    Ok((seed, site.settings, site.names))
}

/// Decodes a `pool` message; returns its number and its undecoded entries. [`entries`] decodes them with the
/// names of an instance.
pub fn pool(mut message: Message) -> Result<(u64, Value), WireError> {
    Ok((message.take("page")?, message.take("hosts")?))
}

/// Decodes the entries of a pool, with the names of an instance's settings.
pub fn entries(hosts: &Value, names: &Names) -> Result<Vec<ListEntry>, WireError> {
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

/// Decodes a `membership` message; returns the kind of update and the number of the pool, if it has one.
pub fn membership(mut message: Message) -> Result<(ListMode, Option<u64>), WireError> {
    let mode = match message.take::<String>("mode")?.as_str() {
        "patch" => ListMode::Patch,
        "whole" => ListMode::Full,
        "stale_copy" => ListMode::Stale,
        "broken" => return Ok((ListMode::Failed, None)),
        other => return Err(format!("membership: unknown mode `{other}`")),
    };
    Ok((mode, Some(message.take("page")?)))
}

fn session_request(call: WireCall, names: &Names) -> Result<SessionRequest, WireError> {
    let class =
        index_of(&names.classes, &call.class).ok_or_else(|| format!("unknown class `{}`", call.class))?;
    Ok(SessionRequest {
        id: call.request,
        title: call.programme,
        class,
        tenant: call.project.as_ref().and_then(Value::as_str).and_then(|p| index_of(&names.tenants, p)),
        max_rung: call.top_rung.map_or(usize::MAX, whole_number),
        first_cell: whole_number(call.from_cell) as u64,
        cell_count: whole_number(call.cells_in_row) as u64,
        deadline: duration_from_ms(call.valid_until),
        is_repeat: call.came_back || call.repeat,
    })
}

/// Decodes an event of one instance; returns `None` if the decision module does not use it.
pub fn event(mut message: Message, names: &Names) -> Result<Option<Event>, WireError> {
    Ok(Some(match message.verb.as_str() {
        "call" => Event::Request(session_request(message.body()?, names)?),
        "adopted" => {
            let server = message.take("server")?;
            Event::Adopted(session_request(message.body()?, names)?, server)
        }
        "head-received" => {
            let body: WireSessionEvent = message.body()?;
            Event::Playing(body.request, body.hop, body.server, duration_from_ms(body.cost_time))
        }
        "note" => {
            let body: WireSessionEvent = message.body()?;
            let report = match body.kind {
                1 => SessionReport::DeliveredShare(body.level),
                2 => SessionReport::Rung(whole_number(body.level)),
                3 => SessionReport::LinkLoad(body.level),
                4 => SessionReport::UplinkLoad(body.level),
                _ => return Ok(None),
            };
            Event::SessionReport(body.request, body.server, report)
        }
        "attempt-end" => {
            let body: WireSessionEvent = message.body()?;
            let outcome = match body.how.as_str() {
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
            let reading = |name: &str| body.gauge.get(name).copied();
            let load =
                LoadReport { link_load: reading("x0").or(reading("load_share")), uplink_load: reading("x1") };
            Event::AttemptEnded(body.request, body.hop, body.server, outcome, body.complete, load)
        }
        "cancelled-by-client" => Event::ViewerLeft(message.take("ref")?),
        "ring" => Event::Timer(message.take("token")?),
        "health" | "datagram" => return Ok(None),
        other => return Err(format!("unknown verb `{other}`")),
    }))
}

/// Encodes an action of an instance as a line.
pub fn encode_action(instance: &str, action: &Action) -> String {
    let mut value = match action {
        Action::Send(request, server, timeout) => {
            json!({"verb": "pass-on", "ref": request, "server": server, "within": millis(*timeout)})
        }
        Action::SetRung(request, rung) => json!({"verb": "step-to", "ref": request, "tier-no": rung}),
        Action::Refuse(request, retry_after) => {
            json!({"verb": "refuse", "ref": request, "hold-off": millis(*retry_after)})
        }
        Action::Fail(request) => json!({"verb": "finish-error", "ref": request}),
        Action::SetTimer(after, token) => json!({"verb": "arm", "sleep-for": millis(*after), "token": token}),
        Action::Subscribe => json!({"verb": "listen", "enable": true}),
        Action::Log(line) => json!({"verb": "trace", "words": line}),
    };
    value["manager-id"] = instance.into();
    value.to_string()
}
