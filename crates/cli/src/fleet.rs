//! `cloverhollow fleet`: what a running front says of the other fronts, at its side address.

use bytes::Bytes;
use clap::{Args, Subcommand};
use cloverhollow_http::{RequestHead, Target};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for the front's answer.
const WITHIN: Duration = Duration::from_secs(5);
/// Longest page.
const MOST: usize = 16 * 1024 * 1024;

/// Asks a front.
#[derive(Args)]
pub struct Fleet {
    #[command(subcommand)]
    what: What,
    /// Its side address.
    #[arg(long, global = true, default_value = "127.0.0.1:8081")]
    side: SocketAddr,
    /// One JSON object, as the front tells it.
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Subcommand)]
enum What {
    /// How many are there, at least and at most, what the decisions reckon with, and who may be out.
    Status,
    /// Asks the front to go out as soon as it may: it serves on meanwhile, and stays where it gets no permit.
    Out,
    /// All members, one a line.
    Members,
    /// Why one member is seen as it is.
    Why {
        /// Its name or address.
        member: String,
    },
}

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// It can't be asked.
    #[error("{side}: {what}")]
    Asked {
        /// Where.
        side: SocketAddr,
        /// What went wrong.
        what: String,
    },
    /// Nobody of that name.
    #[error("no member `{0}`")]
    Nobody(String),
}

impl FleetError {
    /// The command's exit code.
    pub fn code(&self) -> u8 {
        match self {
            FleetError::Asked { .. } => 1,
            FleetError::Nobody(_) => 2,
        }
    }
}

fn text(v: &Value) -> String {
    match v {
        Value::String(s) => s.clone(),
        Value::Null => "-".into(),
        v => v.to_string(),
    }
}

fn line(m: &Value) -> String {
    let columns = ["name", "hall", "address", "sure", "since_ms", "heard_ms", "life"];
    columns.map(|c| text(&m[c])).join("\t")
}

impl Fleet {
    /// Asks and prints.
    ///
    /// # Errors
    /// The front can't be asked, or knows nobody of that name.
    pub async fn run(self) -> Result<(), FleetError> {
        let asked = async {
            match self.what {
                What::Out => go_out(self.side).await,
                _ => ask(self.side).await,
            }
        };
        let page = tokio::time::timeout(WITHIN, asked).await;
        let page = page.unwrap_or_else(|_| Err("no answer in time".into()));
        let page = page.map_err(|what| FleetError::Asked { side: self.side, what })?;
        let members = page["members"].as_array().cloned().unwrap_or_default();
        match self.what {
            What::Status if self.json => {
                let mut page = page;
                page.as_object_mut().map(|p| p.remove("members"));
                println!("{page}");
            }
            What::Status => status(&page),
            What::Out if self.json => println!("{page}"),
            What::Out => println!("asked: it goes out once it holds a permit; see `fleet status`"),
            What::Members if self.json => println!("{}", page["members"]),
            What::Members => {
                println!("name\thall\taddress\tsure\tsince_ms\theard_ms\tlife");
                members.iter().for_each(|m| println!("{}", line(m)));
            }
            What::Why { member } => {
                let found = members.iter().find(|m| m["name"] == *member || m["address"] == *member);
                let m = found.ok_or(FleetError::Nobody(member))?;
                if self.json {
                    println!("{m}");
                } else {
                    println!(
                        "{}: {} for {} ms: {}",
                        text(&m["name"]),
                        text(&m["sure"]),
                        m["since_ms"],
                        text(&m["why"])
                    );
                    println!("last heard here {} ms ago; life {}", text(&m["heard_ms"]), text(&m["life"]));
                }
            }
        }
        Ok(())
    }
}

fn status(page: &Value) {
    let (me, view, count) = (&page["me"], &page["view"], &page["count"]);
    println!(
        "{} at {}, hall {}, life {}",
        text(&me["name"]),
        text(&me["address"]),
        text(&me["hall"]),
        text(&me["life"])
    );
    println!("members: {} at least, {} at most (view {})", view["at_least"], view["at_most"], view["number"]);
    match (&count["asked_for"], &count["in_force"]) {
        (Value::Bool(true), Value::Null) => println!("count: none in force, so no part of cold servers"),
        (Value::Bool(true), n) => println!("count: {n} fronts at the most, for {} ms", count["for_ms"]),
        _ => println!("count: not asked for; instance.fronts holds"),
    }
    if let Value::Number(n) = &page["witness"] {
        println!("witness: {n} processes hold a lease here");
    }
    if let Value::String(other) = &page["stepped_back"] {
        println!("stepped back: a younger process of this name is at {other}");
    }
    permits(&page["out"]);
    let d = &page["datagrams"];
    println!(
        "datagrams: {} taken, {} sent ({} bytes), refused {}",
        d["taken"], d["sent"], d["sent_bytes"], d["refused"]
    );
}

/// Who may be out, and who is.
fn permits(out: &Value) {
    if out.is_null() {
        return println!("permits: off (out.fleet is 0)");
    }
    println!("permits: {} of the fleet, {} of a hall may be out at once", out["fleet"], out["hall"]);
    match &out["register"] {
        Value::Null => println!("register: not heard of yet"),
        r => println!("register: term {}, heard {} ms ago", r["term"], r["heard_ms"]),
    }
    let list = |v: &Value| v.as_array().cloned().unwrap_or_default();
    for p in list(&out["register"]["permits"]) {
        println!("permit: {} in term {}, for {} ms at the most", text(&p["name"]), p["term"], p["lease_ms"]);
    }
    for o in list(&out["counted_out"]) {
        println!("counts as out: {} ({})", text(&o["name"]), text(&o["why"]));
    }
    match &out["unsure_ms"] {
        Value::Null => println!("view: not sure yet, so no permit"),
        ms => println!("view: sure {ms} ms ago"),
    }
    if let Value::String(sight) = &out["witness"] {
        println!("witness of permits: {sight}");
    }
    if out["wanted"] == true {
        let held = if out["held"] == true { "holds its permit" } else { "waits for its permit" };
        println!("told to go out: {held} ({})", text(&out["reason"]));
    }
}

async fn ask(side: SocketAddr) -> Result<Value, String> {
    let target = Target::parse(Bytes::from_static(b"/v1/fleet")).ok_or("no path")?;
    exchange(side, RequestHead::get(target), "this front is no member (members.listen is not set)").await
}

async fn go_out(side: SocketAddr) -> Result<Value, String> {
    let target = Target::parse(Bytes::from_static(b"/v1/out")).ok_or("no path")?;
    exchange(side, RequestHead::post(target, 0), "this front asks for no permits (out.fleet is 0)").await
}

async fn exchange(side: SocketAddr, mut head: RequestHead, off: &str) -> Result<Value, String> {
    let mut conn = cloverhollow_net::connect(side).await.map_err(|e| e.to_string())?;
    head.headers.push("host", side.to_string());
    let (head, body) = conn.exchange(head, Bytes::new(), MOST).await.map_err(|e| e.to_string())?;
    match head.status {
        200 | 202 => {}
        404 => return Err(off.into()),
        status => return Err(format!("status {status}")),
    }
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}
