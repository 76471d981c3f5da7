//! Request targets in origin form (RFC 9112, section 3.2.1).

use bytes::Bytes;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC};
use std::fmt;

/// Characters that stand for themselves in a query value (RFC 3986, section 2.3).
const KEEP: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// A path with an optional query, as it came. Always ASCII without controls or blanks.
#[derive(Clone, PartialEq, Eq)]
pub struct Target {
    text: Bytes,
    /// Length of the path: up to the question mark.
    path: usize,
}

impl Target {
    /// Takes a target in origin form; `None` for any other form, and for characters that no target holds.
    pub fn parse(text: Bytes) -> Option<Target> {
        let fine = text.first() == Some(&b'/') && text.iter().all(|b| b.is_ascii_graphic());
        let path = text.iter().position(|b| *b == b'?').unwrap_or(text.len());
        fine.then_some(Target { text, path })
    }

    /// The whole of it.
    pub fn as_str(&self) -> &str {
        // `parse` takes ASCII only.
        std::str::from_utf8(&self.text).unwrap_or("/")
    }

    /// The path.
    pub fn path(&self) -> &str {
        &self.as_str()[..self.path]
    }

    /// The value of a query argument, still percent-encoded.
    pub fn query_argument(&self, name: &str) -> Option<&str> {
        let query = self.as_str().get(self.path + 1..)?;
        query.split('&').find_map(|pair| match pair.split_once('=') {
            Some((key, value)) if key == name => Some(value),
            _ => None,
        })
    }
}

impl fmt::Debug for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Undoes percent-encoding; `None` where the bytes are no UTF-8. A plus sign stays one (RFC 3986).
pub fn percent_decode(text: &str) -> Option<String> {
    percent_encoding::percent_decode_str(text).decode_utf8().ok().map(|s| s.into_owned())
}

/// Percent-encodes all but the unreserved characters.
pub fn percent_encode(text: &str) -> String {
    percent_encoding::utf8_percent_encode(text, KEEP).to_string()
}
