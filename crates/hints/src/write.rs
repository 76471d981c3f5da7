//! CMCD as text: keys in the order of their names, figures rounded as the standard asks.

use crate::cmcd::{CustomValue, Kbps, Millis, Record};
use crate::keys::{Group, Key, Kind};
use std::fmt::Write;

/// A figure to the nearest multiple that the key is rounded to (CTA-5004, table 1).
fn rounded(key: Key, n: u64) -> u64 {
    match key.kind() {
        Kind::Whole { round, .. } if round > 1 => (n + round / 2) / round * round,
        _ => n,
    }
}

fn quote(out: &mut String, text: &str) {
    out.push('"');
    for c in text.chars() {
        if matches!(c, '"' | '\\') {
            out.push('\\');
        }
        out.push(c);
    }
    out.push('"');
}

enum Shown<'a> {
    Whole(u64),
    Text(&'a str),
    Token(&'static str),
    Decimal(f64),
    True,
}

impl Record {
    fn shown(&self, key: Key) -> Option<Shown<'_>> {
        let ms = |v: Option<Millis>| v.map(|m| Shown::Whole(m.0.into()));
        let kbps = |v: Option<Kbps>| v.map(|k| Shown::Whole(k.0.into()));
        match key {
            Key::Bl => ms(self.bl),
            Key::Br => kbps(self.br),
            Key::Bs => self.bs.then_some(Shown::True),
            Key::Cid => self.cid.as_deref().map(Shown::Text),
            Key::D => ms(self.d),
            Key::Dl => ms(self.dl),
            Key::E => self.e.map(|t| Shown::Token(t.token())),
            Key::Ltc => ms(self.ltc),
            Key::Msd => ms(self.msd),
            Key::Mtp => kbps(self.mtp),
            Key::Nor => self.nor.as_deref().map(Shown::Text),
            Key::Nrr => self.nrr.as_deref().map(Shown::Text),
            Key::Ot => self.ot.map(|t| Shown::Token(t.token())),
            // 1 is left out (CTA-5004, table 1).
            Key::Pr => self.pr.filter(|p| *p != 1.0).map(Shown::Decimal),
            Key::Rc => self.rc.map(|n| Shown::Whole(n.into())),
            Key::Rtp => kbps(self.rtp),
            Key::Sf => self.sf.map(|t| Shown::Token(t.token())),
            Key::Sid => self.sid.as_deref().map(Shown::Text),
            Key::Sn => self.sn.map(Shown::Whole),
            Key::St => self.st.map(|t| Shown::Token(t.token())),
            Key::Sta => self.sta.map(|t| Shown::Token(t.token())),
            Key::Su => self.su.then_some(Shown::True),
            Key::Tb => kbps(self.tb),
            Key::Ts => self.ts.map(Shown::Whole),
            // Version 1 is left out.
            Key::V => self.v.filter(|v| *v != 1).map(|v| Shown::Whole(v.into())),
        }
    }

    fn write_key(&self, out: &mut String, key: Key) {
        let Some(shown) = self.shown(key) else { return };
        if !out.is_empty() {
            out.push(',');
        }
        out.push_str(key.name());
        // Writing to a string does not fail.
        let _ = match shown {
            Shown::True => Ok(()),
            Shown::Whole(n) => write!(out, "={}", rounded(key, n)),
            Shown::Decimal(n) => write!(out, "={n}"),
            Shown::Token(t) => write!(out, "={t}"),
            Shown::Text(t) => {
                out.push('=');
                quote(out, t);
                Ok(())
            }
        };
    }

    fn write_custom(&self, out: &mut String) {
        for c in &self.custom {
            if !out.is_empty() {
                out.push(',');
            }
            out.push_str(&c.key);
            match &c.value {
                CustomValue::True => {}
                CustomValue::Unquoted(v) => {
                    out.push('=');
                    out.push_str(v);
                }
                CustomValue::Quoted(v) => {
                    out.push('=');
                    quote(out, v);
                }
            }
        }
    }

    /// The value of one group's header, empty when the group says nothing. Custom keys go with the request.
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

    /// All keys together: the query argument before percent-encoding, or a line of a report.
    pub fn to_line(&self) -> String {
        let mut out = String::new();
        for key in Key::ALL {
            self.write_key(&mut out, *key);
        }
        self.write_custom(&mut out);
        out
    }
}
