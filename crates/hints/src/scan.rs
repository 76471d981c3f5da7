//! Tokenizer of CMCD texts: splits them into keys and values in one pass, in time linear in the length.

use crate::faults::Fault;

/// Unparsed value of a key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RawValue<'a> {
    /// Key without a value: true.
    Absent,
    /// Unquoted text: a number, token or boolean.
    Unquoted(&'a str),
    /// Text between quotes, with its escapes.
    Quoted(&'a str),
    /// Text between parentheses: an inner list (version 2).
    List(&'a str),
}

/// One `key` or `key=value`, or the fault of a malformed member.
pub(crate) type Member<'a> = Result<(&'a str, RawValue<'a>), Fault>;

/// Iterator over the members of a text. A malformed member is skipped up to the next comma.
pub(crate) struct Scanner<'a> {
    text: &'a str,
}

impl<'a> Scanner<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        Scanner { text }
    }

    /// Takes the text up to the first byte that matches `is_end`, which stays.
    fn take_until(&mut self, is_end: impl Fn(u8) -> bool) -> &'a str {
        let end = self.text.bytes().position(is_end).unwrap_or(self.text.len());
        // `is_end` matches ASCII bytes only, so the split never lies inside a multi-byte character.
        let (part, rest) = self.text.split_at(end);
        self.text = rest;
        part
    }

    fn skip(&mut self, byte: char) -> bool {
        match self.text.strip_prefix(byte) {
            Some(rest) => {
                self.text = rest;
                true
            }
            None => false,
        }
    }

    /// Takes the rest of a quoted string; `None` if it is not closed, which consumes all text.
    fn take_quoted(&mut self) -> Option<&'a str> {
        let bytes = self.text.as_bytes();
        let mut index = 0;
        while index < bytes.len() {
            match bytes[index] {
                b'\\' => index += 2,
                b'"' => {
                    let inside = &self.text[..index];
                    self.text = &self.text[index + 1..];
                    return Some(inside);
                }
                _ => index += 1,
            }
        }
        self.text = "";
        None
    }

    fn take_value(&mut self) -> Result<RawValue<'a>, Fault> {
        if self.skip('"') {
            return self.take_quoted().map(RawValue::Quoted).ok_or(Fault::Malformed);
        }
        if self.skip('(') {
            let inside = self.take_until(|b| b == b')');
            return if self.skip(')') { Ok(RawValue::List(inside)) } else { Err(Fault::Malformed) };
        }
        let unquoted = self.take_until(|b| b == b',').trim_end();
        if unquoted.is_empty() {
            return Err(Fault::Malformed);
        }
        Ok(RawValue::Unquoted(unquoted))
    }
}

impl<'a> Iterator for Scanner<'a> {
    type Item = Member<'a>;

    fn next(&mut self) -> Option<Member<'a>> {
        self.text = self.text.trim_start();
        if self.text.is_empty() {
            return None;
        }
        let key = self.take_until(|b| b == b',' || b == b'=').trim_end();
        let value = if self.skip('=') { self.take_value() } else { Ok(RawValue::Absent) };
        let trailing = self.take_until(|b| b == b',');
        self.skip(',');
        Some(match value {
            Ok(_) if key.is_empty() || !trailing.trim().is_empty() => Err(Fault::Malformed),
            Ok(raw) => Ok((key, raw)),
            Err(fault) => Err(fault),
        })
    }
}

/// Removes the escapes of a quoted string (RFC 9651, section 4.2.5); `None` for escapes other than `\"` and
/// `\\` and for control characters.
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
