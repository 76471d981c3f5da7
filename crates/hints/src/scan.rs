//! Splits a CMCD text into keys and values: one pass, no look-back, linear in its length.

use crate::faults::Fault;

/// A value as it stands in the text.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Raw<'a> {
    /// A key alone: true.
    Bare,
    /// Unquoted: a number, token or boolean.
    Plain(&'a str),
    /// Between quotes, escapes still in place.
    Quoted(&'a str),
    /// Between parentheses: an inner list (version 2).
    List(&'a str),
}

/// One `key` or `key=value`, or what stood in its place.
pub(crate) type Member<'a> = Result<(&'a str, Raw<'a>), Fault>;

/// Walks over the members. A malformed member is skipped to its comma.
pub(crate) struct Scan<'a> {
    text: &'a str,
}

impl<'a> Scan<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        Scan { text }
    }

    /// Takes up to the first byte that `stop` names; that byte is left.
    fn until(&mut self, stop: impl Fn(u8) -> bool) -> &'a str {
        let end = self.text.bytes().position(stop).unwrap_or(self.text.len());
        // `stop` names ASCII bytes only, which never lie inside a character of several bytes.
        let (part, rest) = self.text.split_at(end);
        self.text = rest;
        part
    }

    fn eat(&mut self, byte: char) -> bool {
        match self.text.strip_prefix(byte) {
            Some(rest) => {
                self.text = rest;
                true
            }
            None => false,
        }
    }

    /// The inside of a quoted string, or `None` when it is never closed (all text is then used up).
    fn quoted(&mut self) -> Option<&'a str> {
        let bytes = self.text.as_bytes();
        let mut at = 0;
        while at < bytes.len() {
            match bytes[at] {
                b'\\' => at += 2,
                b'"' => {
                    let inside = &self.text[..at];
                    self.text = &self.text[at + 1..];
                    return Some(inside);
                }
                _ => at += 1,
            }
        }
        self.text = "";
        None
    }

    fn value(&mut self) -> Result<Raw<'a>, Fault> {
        if self.eat('"') {
            return self.quoted().map(Raw::Quoted).ok_or(Fault::Malformed);
        }
        if self.eat('(') {
            let inside = self.until(|b| b == b')');
            return if self.eat(')') { Ok(Raw::List(inside)) } else { Err(Fault::Malformed) };
        }
        let plain = self.until(|b| b == b',').trim_end();
        if plain.is_empty() {
            return Err(Fault::Malformed);
        }
        Ok(Raw::Plain(plain))
    }
}

impl<'a> Iterator for Scan<'a> {
    type Item = Member<'a>;

    fn next(&mut self) -> Option<Member<'a>> {
        self.text = self.text.trim_start();
        if self.text.is_empty() {
            return None;
        }
        let key = self.until(|b| b == b',' || b == b'=').trim_end();
        let value = if self.eat('=') { self.value() } else { Ok(Raw::Bare) };
        let left_over = self.until(|b| b == b',');
        self.eat(',');
        Some(match value {
            Ok(_) if key.is_empty() || !left_over.trim().is_empty() => Err(Fault::Malformed),
            Ok(raw) => Ok((key, raw)),
            Err(fault) => Err(fault),
        })
    }
}

/// A quoted string with its escapes undone; only `\"` and `\\` are allowed (RFC 9651, section 4.2.5).
pub(crate) fn unescape(inside: &str) -> Option<String> {
    let mut out = String::with_capacity(inside.len());
    let mut chars = inside.chars();
    while let Some(c) = chars.next() {
        match c {
            '\\' => match chars.next() {
                Some(c @ ('"' | '\\')) => out.push(c),
                _ => return None,
            },
            c if c.is_control() => return None,
            c => out.push(c),
        }
    }
    Some(out)
}
