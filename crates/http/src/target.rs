//! Request targets in origin form (RFC 9112, section 3.2.1).

use bytes::Bytes;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC};
use std::fmt;

/// Characters to percent-encode: all but the unreserved ones (RFC 3986, section 2.3).
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Path with an optional query, as received. Always ASCII without control characters and spaces.
#[derive(Clone, PartialEq, Eq)]
pub struct Target {
    text: Bytes,
    /// Length of the path in bytes, up to the question mark.
    path_length: usize,
}

impl Target {
    /// Parses a target in origin form; `None` for any other form and for characters that are not allowed.
    pub fn parse(text: Bytes) -> Option<Target> {
        let valid = text.first() == Some(&b'/') && text.iter().all(|b| b.is_ascii_graphic());
        let path_length = text.iter().position(|b| *b == b'?').unwrap_or(text.len());
        valid.then_some(Target { text, path_length })
    }

    /// Path and query.
    pub fn as_str(&self) -> &str {
        // `parse` accepts ASCII only, so this cannot fail.
        std::str::from_utf8(&self.text).unwrap_or("/")
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        &self.as_str()[..self.path_length]
    }

    /// Value of the first query argument with this name, still percent-encoded.
    pub fn query_argument(&self, name: &str) -> Option<&str> {
        let query = self.as_str().get(self.path_length + 1..)?;
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

/// Decodes percent-encoding; `None` if the result is not UTF-8. A plus sign stays a plus sign (RFC 3986).
pub fn percent_decode(text: &str) -> Option<String> {
    percent_encoding::percent_decode_str(text).decode_utf8().ok().map(|s| s.into_owned())
}

/// Percent-encodes all characters but the unreserved ones.
pub fn percent_encode(text: &str) -> String {
    percent_encoding::utf8_percent_encode(text, RESERVED).to_string()
}
