//! Heads of requests and responses.

use crate::target::Target;
use bytes::Bytes;

/// Header lines in the order they came. Names are compared without regard to case.
#[derive(Clone, Debug, Default)]
pub struct Headers {
    lines: Vec<(Bytes, Bytes)>,
}

impl Headers {
    /// Adds a line. The caller vouches that neither part holds a control character.
    pub fn push(&mut self, name: impl Into<Bytes>, value: impl Into<Bytes>) {
        self.lines.push((name.into(), value.into()));
    }

    /// All lines but those under that name. Copies no bytes.
    pub fn without(&self, name: &str) -> Headers {
        let others = self.lines.iter().filter(|(n, _)| !n.eq_ignore_ascii_case(name.as_bytes()));
        Headers { lines: others.cloned().collect() }
    }

    /// All lines.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.lines.iter().map(|(n, v)| (&n[..], &v[..]))
    }

    /// All values under that name.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name.as_bytes())).map(|(_, v)| v)
    }

    /// The first value under that name, if it is UTF-8.
    pub fn get_str(&self, name: &str) -> Option<&str> {
        let first = self.iter().find(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()));
        first.and_then(|(_, v)| std::str::from_utf8(v).ok())
    }

    /// All values under that name as one list (RFC 9110, section 5.3); lines that are no UTF-8 are left out.
    pub fn joined(&self, name: &str) -> Option<String> {
        let mut out: Option<String> = None;
        for v in self.get_all(name).filter_map(|v| std::str::from_utf8(v).ok()) {
            match &mut out {
                None => out = Some(v.to_string()),
                Some(s) => {
                    s.push_str(", ");
                    s.push_str(v);
                }
            }
        }
        out
    }

    /// Whether a comma-separated header names that token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .flat_map(|v| v.split(|b| *b == b','))
            .any(|t| t.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// How many lines.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

/// A request method, as far as this program tells them apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Method {
    /// GET.
    Get,
    /// HEAD.
    Head,
    /// POST.
    Post,
    /// Any other.
    Other(Box<str>),
}

impl Method {
    pub(crate) fn find(name: &str) -> Method {
        match name {
            "GET" => Method::Get,
            "HEAD" => Method::Head,
            "POST" => Method::Post,
            other => Method::Other(other.into()),
        }
    }

    /// Its name.
    pub fn name(&self) -> &str {
        match self {
            Method::Get => "GET",
            Method::Head => "HEAD",
            Method::Post => "POST",
            Method::Other(name) => name,
        }
    }
}

/// How the end of a body is told (RFC 9112, section 6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// No body.
    Empty,
    /// So many bytes.
    Length(u64),
    /// In chunks.
    Chunked,
    /// Until the connection closes (responses only).
    UntilClose,
}

/// Head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method.
    pub method: Method,
    /// The target, in origin form.
    pub target: Target,
    /// Its header lines; framing headers are among them when read, and left out when written.
    pub headers: Headers,
    /// How its body ends.
    pub framing: Framing,
    /// Whether the connection may be used again afterwards.
    pub keep_alive: bool,
}

impl RequestHead {
    /// A request without a body.
    pub fn get(target: Target) -> Self {
        RequestHead {
            method: Method::Get,
            target,
            headers: Headers::default(),
            framing: Framing::Empty,
            keep_alive: true,
        }
    }

    /// A request with a body of that length.
    pub fn post(target: Target, length: usize) -> Self {
        RequestHead { method: Method::Post, framing: Framing::Length(length as u64), ..Self::get(target) }
    }
}

/// Head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// Its header lines; framing headers are among them when read, and left out when written.
    pub headers: Headers,
    /// How its body ends.
    pub framing: Framing,
    /// Whether the connection may be used again afterwards.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// A response with a body of that length.
    pub fn new(status: u16, length: usize) -> Self {
        ResponseHead {
            status,
            headers: Headers::default(),
            framing: Framing::Length(length as u64),
            keep_alive: true,
        }
    }
}
