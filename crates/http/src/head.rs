//! Request and response heads: method, target, status, headers, framing.

use crate::target::Target;
use bytes::Bytes;

/// Header lines in the order of arrival. Names compare case-insensitively.
#[derive(Clone, Debug, Default)]
pub struct Headers {
    lines: Vec<(Bytes, Bytes)>,
}

impl Headers {
    /// Appends a line. The caller must ensure that neither part holds a control character.
    pub fn push(&mut self, name: impl Into<Bytes>, value: impl Into<Bytes>) {
        self.lines.push((name.into(), value.into()));
    }

    /// Returns all lines except those with this name. Shares the bytes.
    pub fn without(&self, name: &str) -> Headers {
        let remaining = self.lines.iter().filter(|(n, _)| !n.eq_ignore_ascii_case(name.as_bytes()));
        Headers { lines: remaining.cloned().collect() }
    }

    /// Iterates over names and values in the order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.lines.iter().map(|(n, v)| (&n[..], &v[..]))
    }

    /// Values of all lines with this name.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name.as_bytes())).map(|(_, v)| v)
    }

    /// Value of the first line with this name; `None` if there is no such line or it is not UTF-8.
    pub fn get_str(&self, name: &str) -> Option<&str> {
        let first = self.iter().find(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()));
        first.and_then(|(_, v)| std::str::from_utf8(v).ok())
    }

    /// Values of all lines with this name, joined with commas (RFC 9110, section 5.3). Lines that are not
    /// UTF-8 are skipped; `None` if no line is left.
    pub fn joined(&self, name: &str) -> Option<String> {
        let mut out: Option<String> = None;
        for value in self.get_all(name).filter_map(|v| std::str::from_utf8(v).ok()) {
            match &mut out {
                None => out = Some(value.to_string()),
                Some(list) => {
                    list.push_str(", ");
                    list.push_str(value);
                }
            }
        }
        out
    }

    /// Returns whether a comma-separated header contains the token, case-insensitively.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .flat_map(|v| v.split(|b| *b == b','))
            .any(|t| t.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Number of header lines.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Returns whether there are no header lines.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

/// Request method.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Method {
    /// GET.
    Get,
    /// HEAD.
    Head,
    /// POST.
    Post,
    /// Any other method, as received.
    Other(Box<str>),
}

impl Method {
    pub(crate) fn from_name(name: &str) -> Method {
        match name {
            "GET" => Method::Get,
            "HEAD" => Method::Head,
            "POST" => Method::Post,
            other => Method::Other(other.into()),
        }
    }

    /// Name as sent in the request line.
    pub fn name(&self) -> &str {
        match self {
            Method::Get => "GET",
            Method::Head => "HEAD",
            Method::Post => "POST",
            Method::Other(name) => name,
        }
    }
}

/// Method by which the end of a body is determined (RFC 9112, section 6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// No body.
    Empty,
    /// Content-length in bytes.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// Until the connection closes (responses only).
    UntilClose,
}

/// Head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Request method.
    pub method: Method,
    /// Target in origin form.
    pub target: Target,
    /// Header lines. A decoder leaves framing headers in; an encoder skips them and writes its own.
    pub headers: Headers,
    /// Framing of the body.
    pub framing: Framing,
    /// True if the connection may be reused after this exchange.
    pub keep_alive: bool,
}

impl RequestHead {
    /// Creates a GET request without a body.
    pub fn get(target: Target) -> Self {
        RequestHead {
            method: Method::Get,
            target,
            headers: Headers::default(),
            framing: Framing::Empty,
            keep_alive: true,
        }
    }

    /// Creates a POST request with a body of `length` bytes.
    pub fn post(target: Target, length: usize) -> Self {
        RequestHead { method: Method::Post, framing: Framing::Length(length as u64), ..Self::get(target) }
    }
}

/// Head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Header lines. A decoder leaves framing headers in; an encoder skips them and writes its own.
    pub headers: Headers,
    /// Framing of the body.
    pub framing: Framing,
    /// True if the connection may be reused after this exchange.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// Creates a response with a body of `length` bytes.
    pub fn new(status: u16, length: usize) -> Self {
        ResponseHead {
            status,
            headers: Headers::default(),
            framing: Framing::Length(length as u64),
            keep_alive: true,
        }
    }
}
