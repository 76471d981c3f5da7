//! Serialization of CMCD: keys in the order of their names, numbers rounded as the standard requires.

use crate::cmcd::{CustomValue, Kbps, Millis, Record};
use crate::keys::{Group, Key, Kind};
use std::fmt::Write;

/// Rounds a number to the nearest multiple required for its key (CTA-5004, table 1).
fn rounded(key: Key, n: u64) -> u64 {
    match key.kind() {
        Kind::Integer { round, .. } if round > 1 => (n + round / 2) / round * round,
        _ => n,
    }
}

fn push_quoted(out: &mut String, text: &str) {
    out.push('"');
    for c in text.chars() {
        if matches!(c, '"' | '\\') {
            out.push('\\');
        }
        out.push(c);
    }
    out.push('"');
}

enum Rendered<'a> {
    Integer(u64),
    Text(&'a str),
    Token(&'static str),
    Decimal(f64),
    True,
}

impl Record {
    fn render(&self, key: Key) -> Option<Rendered<'_>> {
        let ms = |value: Option<Millis>| value.map(|m| Rendered::Integer(m.0.into()));
        let kbps = |value: Option<Kbps>| value.map(|k| Rendered::Integer(k.0.into()));
        match key {
            Key::Bl => ms(self.bl),
            Key::Br => kbps(self.br),
            Key::Bs => self.bs.then_some(Rendered::True),
            Key::Cid => self.cid.as_deref().map(Rendered::Text),
            Key::D => ms(self.d),
            Key::Dl => ms(self.dl),
            Key::E => self.e.map(|t| Rendered::Token(t.token())),
            Key::Ltc => ms(self.ltc),
            Key::Msd => ms(self.msd),
            Key::Mtp => kbps(self.mtp),
            Key::Nor => self.nor.as_deref().map(Rendered::Text),
            Key::Nrr => self.nrr.as_deref().map(Rendered::Text),
            Key::Ot => self.ot.map(|t| Rendered::Token(t.token())),
            // The default of 1 is omitted (CTA-5004, table 1).
            Key::Pr => self.pr.filter(|p| *p != 1.0).map(Rendered::Decimal),
            Key::Rc => self.rc.map(|n| Rendered::Integer(n.into())),
            Key::Rtp => kbps(self.rtp),
            Key::Sf => self.sf.map(|t| Rendered::Token(t.token())),
            Key::Sid => self.sid.as_deref().map(Rendered::Text),
            Key::Sn => self.sn.map(Rendered::Integer),
            Key::St => self.st.map(|t| Rendered::Token(t.token())),
            Key::Sta => self.sta.map(|t| Rendered::Token(t.token())),
            Key::Su => self.su.then_some(Rendered::True),
            Key::Tb => kbps(self.tb),
            Key::Ts => self.ts.map(Rendered::Integer),
            // The default of 1 is omitted.
            Key::V => self.v.filter(|v| *v != 1).map(|v| Rendered::Integer(v.into())),
        }
    }

    fn write_key(&self, out: &mut String, key: Key) {
        let Some(value) = self.render(key) else { return };
        if !out.is_empty() {
            out.push(',');
        }
        out.push_str(key.name());
        // Writing to a string cannot fail.
        let _ = match value {
            Rendered::True => Ok(()),
            Rendered::Integer(n) => write!(out, "={}", rounded(key, n)),
            Rendered::Decimal(n) => write!(out, "={n}"),
            Rendered::Token(token) => write!(out, "={token}"),
            Rendered::Text(text) => {
                out.push('=');
                push_quoted(out, text);
                Ok(())
            }
        };
    }

    fn write_custom(&self, out: &mut String) {
        for custom in &self.custom {
            if !out.is_empty() {
                out.push(',');
            }
            out.push_str(&custom.key);
            match &custom.value {
                CustomValue::True => {}
                CustomValue::Unquoted(text) => {
                    out.push('=');
                    out.push_str(text);
                }
                CustomValue::Quoted(text) => {
                    out.push('=');
                    push_quoted(out, text);
                }
            }
        }
    }

    /// Value of the header of `group`; empty if the record has no key of it. Custom keys are in the request
    /// group.
    pub fn to_header(&self, group: Group) -> String {
        let mut out = String::new();
        for key in Key::ALL.iter().filter(|k| k.group() == group) {
            self.write_key(&mut out, *key);
        }
        if group == Group::Request {
            self.write_custom(&mut out);
        }
        out
    }

    /// All keys in one line: the query argument before percent-encoding, or a line of a report.
    pub fn to_line(&self) -> String {
        let mut out = String::new();
        for key in Key::ALL {
            self.write_key(&mut out, *key);
        }
        self.write_custom(&mut out);
        out
    }
}
