//! A day as a file of YAML: the site, the fleet as it truly is, the viewers, and what goes wrong when.

mod trouble;

use cloverhollow_settings::{read_yaml, Decimal, FrontSettings, Int, Millis, Name, SettingsError};
use serde::Deserialize;
use std::path::Path;
use std::time::Duration;
pub use trouble::{Kind, Trouble, When};

/// A day.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Its name.
    pub name: Name,
    /// Seed of all that is drawn.
    pub seed: Int<0, 9_007_199_254_740_991>,
    /// How long viewers come; 1 s to an hour.
    pub length_ms: Millis<1_000, 3_600_000>,
    /// What the fronts are told: a file of settings without `instance`, `listen`, `side`, `discovery`.
    pub front: FrontSettings,
    /// How many fronts; 1 to 1,000.
    pub fronts: Int<1, 1_000>,
    /// Time that a list change takes to be noticed, at least and at most.
    pub notice_ms: (Millis<0, 60_000>, Millis<0, 60_000>),
    /// A front that subscribes during the day hears its first list so late; 0 to a minute. Default 0.
    #[serde(default)]
    pub first_list_ms: Millis<0, 60_000>,
    /// The servers as they truly are.
    pub fleet: TrueFleet,
    /// The viewers.
    pub viewers: Viewers,
    /// Whether the fronts are members of each other's fleet (`members` of their settings); wires then too. Default no.
    #[serde(default)]
    pub members: bool,
    /// Whether the ways between processes lead over wires. Default no.
    #[serde(default)]
    pub wires: bool,
    /// What goes wrong.
    #[serde(default)]
    pub troubles: Vec<Trouble>,
}

/// A kind of server as it truly is.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrueKind {
    /// Its name.
    pub name: Name,
    /// How many servers in a thousand are of it.
    pub permille: Int<0, 1_000>,
    /// What its link gives, kB a second.
    pub link_kb: Decimal<1, 1_000_000_000_000>,
    /// Streams that it runs at most.
    pub streams: Int<1, 1_000_000>,
}

/// The servers as they truly are.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrueFleet {
    /// How many; 1 to 10,000.
    pub servers: Int<1, 10_000>,
    /// The halls that they stand in, in turn.
    pub halls: Vec<Name>,
    /// Their kinds.
    pub kinds: Vec<TrueKind>,
    /// A rack's uplink over the sum of its links; 0.01 to 10.
    pub uplink: Decimal<10, 10_000>,
    /// How far links and uplinks lie above or below that; 0 to 0.9.
    pub uneven: Decimal<0, 900>,
    /// How far titles' true rates lie above or below the ladder; 0 to 0.9.
    pub vary: Decimal<0, 900>,
    /// Time that a set-up takes; 0 to 10 s.
    pub setup_ms: Millis<0, 10_000>,
    /// Set-ups are turned away while this part of the link is asked; 0: never.
    pub full_from: Decimal<0, 10_000>,
    /// Load reports are refreshed so often; 10 ms to 10 s.
    pub report_every_ms: Millis<10, 10_000>,
    /// Bytes of an object for each kB a second of its rate; 0 to 10,000.
    pub bytes_per_kb: Decimal<0, 10_000_000>,
    /// Set-ups that chance may add to a cold server's budget before it falls; 0 to 100.
    pub slack: Decimal<0, 100_000>,
}

/// Demand at a time; between two, it goes in a straight line.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// When.
    pub at_ms: Millis<0, 3_600_000>,
    /// Load 1 fills 92% of links and uplinks at the middle rate; 0 to 10.
    pub load: Decimal<0, 10_000>,
}

/// A part of all viewers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// The class's or tenant's name.
    pub name: Name,
    /// How many viewers in a thousand.
    pub permille: Int<0, 1_000>,
}

/// The viewers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Viewers {
    /// Demand over the day, by rising time.
    pub demand: Vec<Demand>,
    /// How long a session is watched, at least and at most.
    pub life_ms: (Millis<100, 3_600_000>, Millis<100, 3_600_000>),
    /// Their classes.
    pub classes: Vec<Part>,
    /// Their tenants.
    pub tenants: Vec<Part>,
    /// Titles of each class; 1 to 100,000.
    pub titles: Int<1, 100_000>,
    /// How far some titles are wanted more than others: the n-th by 1/n to this power; 0 to 3.
    pub zipf: Decimal<0, 3_000>,
    /// The part of them that cannot use the upper half of the ladder; 0 to 1.
    pub small_screens: Decimal<0, 1_000>,
    /// The part of them that comes again after a break or a refusal; 0 to 1.
    pub returns: Decimal<0, 1_000>,
    /// When they come again, at least and at most.
    pub rejoin_ms: (Millis<0, 60_000>, Millis<0, 60_000>),
    /// The part of them that hangs up while it waits; 0 to 1.
    pub hang_up: Decimal<0, 1_000>,
    /// The part of them that goes without a word at its end; 0 to 1.
    pub silent_end: Decimal<0, 1_000>,
    /// The part of them whose hints are wrong or contradictory; 0 to 1.
    pub odd_hints: Decimal<0, 1_000>,
    /// The part of them that asks twice at once, on two connections; 0 to 1.
    pub twice: Decimal<0, 1_000>,
    /// The part of them that, when a front breaks off before its answer, sends the same request to it again, as
    /// HTTP clients may; 0 to 1. Default 0.
    #[serde(default = "none")]
    pub resends: Decimal<0, 1_000>,
    /// Playing time of an object; 100 ms to a minute.
    pub object_ms: Millis<100, 60_000>,
    /// Points of worth lost for each point of the rate that is missing under 98 in 100; 0 to 100.
    pub stall: Decimal<0, 100_000>,
    /// The part of them that uses a front of its own hall; 0 to 1.
    pub own_hall: Decimal<0, 1_000>,
}

fn none() -> Decimal<0, 1_000> {
    Decimal::min()
}

/// A script and its front settings as they are handed to processes.
#[derive(Clone, Debug)]
pub struct Day {
    /// The script.
    pub script: Script,
    /// Its `front` part as it stands in the file.
    pub front: serde_json::Value,
}

#[derive(Deserialize)]
struct FrontPart {
    front: serde_json::Value,
}

impl Day {
    /// Reads and checks a script.
    ///
    /// # Errors
    /// The file cannot be read, or its first fault with line, field and range.
    pub fn load(path: &Path) -> Result<Day, SettingsError> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Day::parse(&file, &text),
            Err(source) => Err(SettingsError::Unreadable { file, source }),
        }
    }

    /// Reads and checks a text.
    ///
    /// # Errors
    /// Its first fault.
    pub fn parse(file: &str, text: &str) -> Result<Day, SettingsError> {
        let mut script: Script = read_yaml(file, text)?;
        let FrontPart { front } = read_yaml(file, text)?;
        script.front = FrontSettings::parse(file, &front.to_string())?;
        script.check(file)?;
        Ok(Day { script, front })
    }
}

impl Script {
    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let fault = |field: &str, description: String| {
            Err(SettingsError::Field { file: file.into(), line: 0, field: field.into(), description })
        };
        let (v, f) = (&self.viewers, &self.fleet);
        let class = |p: &Part| !self.front.classes.0.iter().any(|c| c.name == p.name);
        if let Some(p) = v.classes.iter().find(|p| class(p)) {
            return fault("viewers.classes", format!("`{}` is no class of front.classes", p.name.as_str()));
        }
        let tenant = |p: &Part| !self.front.tenants.iter().any(|t| t.name == p.name);
        if let Some(p) = v.tenants.iter().find(|p| tenant(p)) {
            return fault("viewers.tenants", format!("`{}` is no tenant of front.tenants", p.name.as_str()));
        }
        let sum = |parts: &[Part]| parts.iter().map(|p| p.permille.get()).sum::<u64>();
        for (field, total) in [
            ("viewers.classes", sum(&v.classes)),
            ("viewers.tenants", sum(&v.tenants)),
            ("fleet.kinds", f.kinds.iter().map(|k| k.permille.get()).sum()),
        ] {
            if total != 1_000 {
                return fault(field, format!("the parts come to {total} in a thousand, not 1000"));
            }
        }
        if f.halls.is_empty() {
            return fault("fleet.halls", "0 halls are not in 1..=100".into());
        }
        let rising = v.demand.windows(2).all(|w| w[0].at_ms.get() < w[1].at_ms.get());
        if v.demand.is_empty() || !rising {
            return fault("viewers.demand", "at least one entry, by rising at_ms".into());
        }
        let spans = [
            ("viewers.life_ms", v.life_ms.0.get(), v.life_ms.1.get()),
            ("viewers.rejoin_ms", v.rejoin_ms.0.get(), v.rejoin_ms.1.get()),
            ("notice_ms", self.notice_ms.0.get(), self.notice_ms.1.get()),
        ];
        if let Some((field, ..)) = spans.iter().find(|(_, lo, hi)| lo > hi) {
            return fault(field, "the least is over the most".into());
        }
        self.troubles.iter().enumerate().try_for_each(|(i, t)| t.check(self, &format!("troubles[{i}]"), file))
    }

    /// Demand at a time.
    pub fn load_at(&self, at: Duration) -> f64 {
        let all = &self.viewers.demand;
        let next = all.iter().position(|d| d.at_ms.get() > at).unwrap_or(all.len());
        match (next.checked_sub(1).map(|i| all[i]), all.get(next)) {
            (Some(a), Some(b)) => {
                let span = (b.at_ms.get() - a.at_ms.get()).as_secs_f64();
                let part = (at - a.at_ms.get()).as_secs_f64() / span.max(1e-9);
                a.load.get() + (b.load.get() - a.load.get()) * part
            }
            (Some(a), None) => a.load.get(),
            (None, Some(b)) => b.load.get(),
            (None, None) => 0.0,
        }
    }
}
