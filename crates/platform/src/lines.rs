//! JSON lines between session managers and video servers, as bytes in and out. Strict and bounded.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Longest line, its line feed included.
pub const MAX_LINE_BYTES: usize = 16 * 1024;

/// What a line is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
#[allow(missing_docs)] // the platform's words
pub enum Verb {
    Start,
    Pending,
    Started,
    Finish,
    Finished,
    Echo,
    Echoed,
    Load,
    Notice,
    Rate,
    Move,
}

/// The value of a field: text or a number, as text.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(transparent)]
pub struct FieldValue(pub String);

impl<'de> Deserialize<'de> for FieldValue {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        match serde_json::Value::deserialize(d)? {
            serde_json::Value::String(s) => Ok(FieldValue(s)),
            serde_json::Value::Number(n) => Ok(FieldValue(n.to_string())),
            _ => Err(serde::de::Error::custom("a field that is neither text nor a number")),
        }
    }
}

/// One line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// What it is.
    pub verb: Verb,
    /// The session that it concerns.
    #[serde(rename = "tag")]
    pub sid: String,
    /// Its fields.
    #[serde(default, rename = "opts")]
    pub fields: BTreeMap<String, FieldValue>,
    /// Its cause.
    #[serde(default, rename = "rc", skip_serializing_if = "Option::is_none")]
    pub cause: Option<i64>,
    /// Its description.
    #[serde(default, rename = "blob", skip_serializing_if = "Option::is_none")]
    pub description: Option<String>,
}

impl Line {
    /// A line of a session without anything else.
    pub fn new(verb: Verb, sid: &str) -> Self {
        Line { verb, sid: sid.to_owned(), fields: BTreeMap::new(), cause: None, description: None }
    }

    /// Adds a field.
    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.fields.insert(name.to_owned(), FieldValue(value.to_string()));
        self
    }

    /// A release, or a set-up given up, for that cause.
    pub fn finish(sid: &str, cause: i64) -> Self {
        Line { cause: Some(cause), ..Line::new(Verb::Finish, sid) }
    }

    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(|f| f.0.as_str())
    }

    /// The bytes of the line.
    pub fn encode(&self) -> Bytes {
        let mut out = serde_json::to_vec(self).unwrap_or_default();
        out.push(b'\n');
        out.into()
    }
}

/// Why bytes are no line. The stream can't be trusted after it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)] // the messages say it
pub enum LineError {
    #[error("a line longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    #[error("no line of the platform: {0}")]
    Syntax(String),
}

/// Takes the first whole line off `buf`; `None`: more bytes are needed. `buf` never has to hold more than
/// [`MAX_LINE_BYTES`] bytes.
///
/// # Errors
/// It is malformed: the stream can't be trusted any more.
pub fn decode(buf: &mut BytesMut) -> Result<Option<Line>, LineError> {
    let within = &buf[..buf.len().min(MAX_LINE_BYTES)];
    let Some(end) = within.iter().position(|b| *b == b'\n') else {
        return if buf.len() >= MAX_LINE_BYTES { Err(LineError::TooLong) } else { Ok(None) };
    };
    let line = buf.split_to(end + 1);
    serde_json::from_slice(&line).map(Some).map_err(|e| LineError::Syntax(e.to_string()))
}

/// The causes of the platform's releases.
pub mod cause {
    /// The set-up is given up, or the session has come to its end.
    pub const DONE: i64 = 16;
    /// Moved, or ended by its viewer.
    pub const CANCELLED: i64 = 31;
    /// Full: it never ran.
    pub const FULL: i64 = 34;
    /// Cut, or the set-up broke on its way.
    pub const RESET: i64 = 41;
    /// An error.
    pub const ERROR: i64 = 47;
    /// It never left.
    pub const NEVER_SENT: i64 = 102;
}
