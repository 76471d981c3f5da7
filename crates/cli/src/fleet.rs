//! `cloverhollow fleet`: queries a running front, at its side address, for the members and permits it knows.

use bytes::Bytes;
use clap::{Args, Subcommand};
use cloverhollow_http::{RequestHead, Target};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Time limit for a request to the front.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum length of a response body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Queries a running front about its fleet.
#[derive(Args)]
pub struct FleetCommand {
    #[command(subcommand)]
    query: Query,
    /// Side address of the front.
    #[arg(long, global = true, default_value = "127.0.0.1:8081")]
    side: SocketAddr,
    /// Prints JSON as sent by the front instead of text.
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Subcommand)]
enum Query {
    /// Shows bounds on the number of members, the fleet size that decisions use, and who may be out of service.
    Status,
    /// Asks the front to leave service once it holds a permit; it keeps serving until then, and stays if it gets none.
    Out,
    /// Lists all members, one per line.
    Members,
    /// Explains the state in which one member is seen.
    Why {
        /// Name or address of the member.
        member: String,
    },
}

/// Error of a fleet query.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The request to the front failed.
    #[error("{side}: {reason}")]
    Request {
        /// Side address of the front.
        side: SocketAddr,
        /// Description of the failure.
        reason: String,
    },
    /// The front knows no member of this name or address.
    #[error("no member `{0}`")]
    UnknownMember(String),
}

impl FleetError {
    /// Exit code of the command: 2 for an unknown member, 1 for a failed request.
    pub fn code(&self) -> u8 {
        match self {
            FleetError::Request { .. } => 1,
            FleetError::UnknownMember(_) => 2,
        }
    }
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

fn member_row(member: &Value) -> String {
    let columns = ["name", "hall", "address", "sure", "since_ms", "heard_ms", "life"];
    columns.map(|c| text(&member[c])).join("\t")
}

impl FleetCommand {
    /// Sends the query and prints the result.
    ///
    /// # Errors
    /// The request failed, or the front knows no member of that name.
    pub async fn run(self) -> Result<(), FleetError> {
        let request = async {
            match self.query {
                Query::Out => request_leave(self.side).await,
                _ => fetch_fleet(self.side).await,
            }
        };
        let page = tokio::time::timeout(REQUEST_TIMEOUT, request).await;
        let page = page.unwrap_or_else(|_| Err("no response in time".into()));
        let page = page.map_err(|reason| FleetError::Request { side: self.side, reason })?;
        let members = page["members"].as_array().cloned().unwrap_or_default();
        match self.query {
            Query::Status if self.json => {
                let mut page = page;
                page.as_object_mut().map(|p| p.remove("members"));
                println!("{page}");
            }
            Query::Status => print_status(&page),
            Query::Out if self.json => println!("{page}"),
            Query::Out => println!("asked: it goes out once it holds a permit; see `fleet status`"),
            Query::Members if self.json => println!("{}", page["members"]),
            Query::Members => {
                println!("name\thall\taddress\tsure\tsince_ms\theard_ms\tlife");
                members.iter().for_each(|m| println!("{}", member_row(m)));
            }
            Query::Why { member } => {
                let found = members.iter().find(|m| m["name"] == *member || m["address"] == *member);
                let member = found.ok_or(FleetError::UnknownMember(member))?;
                if self.json {
                    println!("{member}");
                } else {
                    println!(
                        "{}: {} for {} ms: {}",
                        text(&member["name"]),
                        text(&member["sure"]),
                        member["since_ms"],
                        text(&member["why"])
                    );
                    println!(
                        "last heard here {} ms ago; life {}",
                        text(&member["heard_ms"]),
                        text(&member["life"])
                    );
                }
            }
        }
        Ok(())
    }
}

fn print_status(page: &Value) {
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
        (Value::Bool(true), Value::Null) => println!("count: none in force, so no share of cold servers"),
        (Value::Bool(true), n) => println!("count: at most {n} fronts, for {} ms", count["for_ms"]),
        _ => println!("count: not asked for; instance.fronts holds"),
    }
    if let Value::Number(n) = &page["witness"] {
        println!("witness: {n} processes hold a lease here");
    }
    if let Value::String(other) = &page["stepped_back"] {
        println!("stepped back: a newer process of this name runs at {other}");
    }
    print_permits(&page["out"]);
    let datagrams = &page["datagrams"];
    println!(
        "datagrams: {} taken, {} sent ({} bytes), refused {}",
        datagrams["taken"], datagrams["sent"], datagrams["sent_bytes"], datagrams["refused"]
    );
}

/// Prints the permits to be out of service and the members that count as out.
fn print_permits(out: &Value) {
    if out.is_null() {
        return println!("permits: off (out.fleet is 0)");
    }
    println!("permits: {} of the fleet, {} of a hall may be out at once", out["fleet"], out["hall"]);
    match &out["register"] {
        Value::Null => println!("register: no state received yet"),
        register => println!("register: term {}, heard {} ms ago", register["term"], register["heard_ms"]),
    }
    let list = |value: &Value| value.as_array().cloned().unwrap_or_default();
    for permit in list(&out["register"]["permits"]) {
        println!(
            "permit: {} in term {}, for at most {} ms",
            text(&permit["name"]),
            permit["term"],
            permit["lease_ms"]
        );
    }
    for member in list(&out["counted_out"]) {
        println!("counts as out: {} ({})", text(&member["name"]), text(&member["why"]));
    }
    match &out["unsure_ms"] {
        Value::Null => println!("view: not sure yet, so no permit"),
        ms => println!("view: sure {ms} ms ago"),
    }
    if let Value::String(state) = &out["witness"] {
        println!("witness of permits: {state}");
    }
    if out["wanted"] == true {
        let progress = if out["held"] == true { "holds its permit" } else { "waits for its permit" };
        println!("told to go out: {progress} ({})", text(&out["reason"]));
    }
}

async fn fetch_fleet(side: SocketAddr) -> Result<Value, String> {
    let target = Target::parse(Bytes::from_static(b"/v1/fleet")).ok_or("invalid path")?;
    exchange(side, RequestHead::get(target), "this front is no member (members.listen is not set)").await
}

async fn request_leave(side: SocketAddr) -> Result<Value, String> {
    let target = Target::parse(Bytes::from_static(b"/v1/out")).ok_or("invalid path")?;
    exchange(side, RequestHead::post(target, 0), "this front asks for no permits (out.fleet is 0)").await
}

async fn exchange(side: SocketAddr, mut head: RequestHead, not_found: &str) -> Result<Value, String> {
    let mut conn = cloverhollow_net::connect(side).await.map_err(|e| e.to_string())?;
    head.headers.push("host", side.to_string());
    let (head, body) = conn.exchange(head, Bytes::new(), MAX_BODY_BYTES).await.map_err(|e| e.to_string())?;
    match head.status {
        200 | 202 => {}
        404 => return Err(not_found.into()),
        status => return Err(format!("unexpected status {status}")),
    }
    serde_json::from_slice(&body).map_err(|e| e.to_string())
}
