//! JSON lines between session managers and video servers: encoding, and strict decoding with a length limit.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum length of a line in bytes, including its line feed.
pub const MAX_LINE_BYTES: usize = 16 * 1024;

/// Type of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Verb {
    /// Requests a set-up, with the session description and the fields `class`, `key`, `left` and `rung`.
    Start,
    /// Reports that a set-up is in progress. Not evaluated here.
    Pending,
    /// Reports that a session has been set up, with its description.
    Started,
    /// Releases a session, abandons a set-up, or ends a set-up without a session; the cause tells which.
    Finish,
    /// Acknowledges [`Verb::Finish`]. Not evaluated here.
    Finished,
    /// Pings the other side.
    Echo,
    /// Answers [`Verb::Echo`].
    Echoed,
    /// Reports a load. Not evaluated here: loads are taken from the field `load` of other lines.
    Load,
    /// Reports about a playing session, in the fields `note` and `value`.
    Notice,
    /// Changes the rung of a session to the field `rung`.
    Rate,
    /// Moves a session. Not evaluated here.
    Move,
}

/// Value of a field as text; accepts a JSON string or number.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(transparent)]
pub struct FieldValue(pub String);

impl<'de> Deserialize<'de> for FieldValue {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        match serde_json::Value::deserialize(d)? {
            serde_json::Value::String(s) => Ok(FieldValue(s)),
            serde_json::Value::Number(n) => Ok(FieldValue(n.to_string())),
            _ => Err(serde::de::Error::custom("field value is neither a string nor a number")),
        }
    }
}

/// One line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Type of the line.
    pub verb: Verb,
    /// Id of the session that the line concerns.
    #[serde(rename = "tag")]
    pub sid: String,
    /// Named fields; which ones depends on the verb.
    #[serde(default, rename = "opts")]
    pub fields: BTreeMap<String, FieldValue>,
    /// Numeric cause of a release or result, one of [`cause`].
    #[serde(default, rename = "rc", skip_serializing_if = "Option::is_none")]
    pub cause: Option<i64>,
    /// Session description (SDP).
    #[serde(default, rename = "blob", skip_serializing_if = "Option::is_none")]
    pub description: Option<String>,
}

impl Line {
    /// Creates a line without fields, cause and description.
    pub fn new(verb: Verb, sid: &str) -> Self {
        Line { verb, sid: sid.to_owned(), fields: BTreeMap::new(), cause: None, description: None }
    }

    /// Adds a field.
    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.fields.insert(name.to_owned(), FieldValue(value.to_string()));
        self
    }

    /// Creates a line that releases a session or abandons a set-up, for that cause.
    pub fn finish(sid: &str, cause: i64) -> Self {
        Line { cause: Some(cause), ..Line::new(Verb::Finish, sid) }
    }

    /// Value of a field; `None` if the line lacks it.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(|value| value.0.as_str())
    }

    /// Encodes the line with its line feed.
    pub fn encode(&self) -> Bytes {
        let mut out = serde_json::to_vec(self).unwrap_or_default();
        out.push(b'\n');
        out.into()
    }
}

/// Reason why bytes are not a valid line. The rest of the stream cannot be trusted then.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)] // the error messages document the variants
pub enum LineError {
    #[error("line longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    #[error("malformed line: {0}")]
    Syntax(String),
}

/// Removes the first complete line from `buf` and decodes it; `None` if more bytes are needed. `buf` never has to hold
/// more than [`MAX_LINE_BYTES`] bytes.
///
/// # Errors
/// The line is too long or malformed. The rest of the stream cannot be trusted then.
pub fn decode(buf: &mut BytesMut) -> Result<Option<Line>, LineError> {
    let searched = &buf[..buf.len().min(MAX_LINE_BYTES)];
    let Some(end) = searched.iter().position(|b| *b == b'\n') else {
        return if buf.len() >= MAX_LINE_BYTES { Err(LineError::TooLong) } else { Ok(None) };
    };
    let line = buf.split_to(end + 1);
    serde_json::from_slice(&line).map(Some).map_err(|e| LineError::Syntax(e.to_string()))
}

/// Numeric causes of releases and of set-ups that end without a session.
pub mod cause {
    /// The set-up is abandoned, or the session has come to its regular end.
    pub const DONE: i64 = 16;
    /// The session was moved by its server or ended by its viewer.
    pub const CANCELLED: i64 = 31;
    /// The server is full; the set-up was not executed.
    pub const FULL: i64 = 34;
    /// The session was cut, or the connection of the set-up broke.
    pub const RESET: i64 = 41;
    /// The set-up failed with an error.
    pub const ERROR: i64 = 47;
    /// The set-up was never sent, so it was not executed.
    pub const NEVER_SENT: i64 = 102;
}
