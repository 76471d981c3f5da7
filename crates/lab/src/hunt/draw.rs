//! Days drawn from a seed, within the ranges of a file.

use crate::plan::stream;
use crate::script::Day;
use cloverhollow_settings::{read_file, read_yaml, SettingsError};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde_json::{json, Value};
use std::path::Path;

/// A range that is drawn from evenly, both ends included.
type Span = (f64, f64);

/// One kind of trouble and how it is drawn.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindRange {
    /// As a script names it.
    pub kind: String,
    /// How often it is drawn, over the others.
    pub weight: f64,
    /// When it begins, parts of the day's length.
    #[serde(default = "any_time")]
    pub at: Span,
    /// How long it lasts, ms.
    pub for_ms: Span,
    /// The part that it befalls.
    #[serde(default = "whole")]
    pub share: Span,
    /// How much, as the kind says.
    #[serde(default = "whole")]
    pub size: Span,
    /// States that fronts are killed in, one of which is drawn.
    #[serde(default)]
    pub when: Vec<String>,
    /// Which wires it befalls; none: as a script has it.
    #[serde(default)]
    pub to: Vec<String>,
    /// Halls one of which it befalls; none: a share.
    #[serde(default)]
    pub halls: Vec<String>,
}

fn any_time() -> Span {
    (0.05, 0.85)
}

fn whole() -> Span {
    (1.0, 1.0)
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    /// The script that days are varied from, beside this file.
    base: String,
    /// What is set otherwise than in it.
    #[serde(default)]
    with: Value,
    length_ms: Span,
    fronts: Span,
    servers: Span,
    /// Demand at the beginning and at the end, drawn apart.
    load: Span,
    /// How many troubles.
    troubles: Span,
    kinds: Vec<KindRange>,
}

/// What days are drawn from.
#[derive(Clone, Debug)]
pub struct Ranges {
    base: Value,
    file: File,
}

/// Why ranges cannot be used.
#[derive(Debug, thiserror::Error)]
#[allow(missing_docs)] // the messages say it
pub enum RangesError {
    #[error(transparent)]
    File(#[from] SettingsError),
    #[error("{file}: {field}: {what}")]
    Range { file: String, field: String, what: String },
}

impl Ranges {
    /// Reads and checks a file, and that days can be drawn from it.
    ///
    /// # Errors
    /// Its first fault, or that of the script that it names.
    pub fn load(path: &Path) -> Result<Ranges, RangesError> {
        let file: File = read_file(path)?;
        let name = path.display().to_string();
        let fault = |field: &str, what: &str| RangesError::Range {
            file: name.clone(),
            field: field.into(),
            what: what.into(),
        };
        let spans = [
            ("length_ms", file.length_ms, 1_000.0, 3_600_000.0),
            ("fronts", file.fronts, 1.0, 1_000.0),
            ("servers", file.servers, 1.0, 10_000.0),
            ("load", file.load, 0.0, 10.0),
            ("troubles", file.troubles, 0.0, 64.0),
        ];
        for (field, (lo, hi), least, most) in spans {
            if !(lo <= hi && lo >= least && hi <= most) {
                return Err(fault(field, &format!("[{lo}, {hi}] is not within {least}..={most}, rising")));
            }
        }
        if file.kinds.iter().map(|k| k.weight).sum::<f64>() <= 0.0 {
            return Err(fault("kinds", "none has a weight over 0"));
        }
        let base = path.with_file_name(&file.base);
        let mut script: Value = read_file(&base)?;
        merge(&mut script, &file.with);
        let ranges = Ranges { base: script, file };
        // A kind that no script knows, or a size that it does not take, shows in a day of that kind alone.
        for (i, kind) in ranges.file.kinds.iter().enumerate() {
            let mut day = ranges.draw(0);
            day["troubles"] = json!([ranges.trouble(kind, 5_000.0, &mut stream(0, "check"))]);
            Day::parse(&format!("{name}: kinds[{i}]"), &yaml(&day))?;
        }
        Ok(ranges)
    }

    /// The day of a seed.
    pub fn draw(&self, seed: u64) -> Value {
        let (f, mut rng) = (&self.file, stream(seed, "hunt"));
        let mut day = self.base.clone();
        let length = between(&mut rng, f.length_ms).round();
        day["name"] = json!(format!("hunt-{seed}"));
        day["seed"] = json!(seed);
        day["length_ms"] = json!(length as u64);
        day["fronts"] = json!(count(&mut rng, f.fronts));
        day["fleet"]["servers"] = json!(count(&mut rng, f.servers));
        let load = |rng: &mut ChaCha8Rng| milli(between(rng, f.load));
        let (first, last) = (load(&mut rng), load(&mut rng));
        day["viewers"]["demand"] =
            json!([{"at_ms": 0, "load": first}, {"at_ms": length as u64, "load": last}]);
        let n = count(&mut rng, f.troubles);
        let troubles: Vec<_> = (0..n).map(|_| self.one(length, &mut rng)).collect();
        day["troubles"] = json!(troubles);
        day
    }

    fn one(&self, length: f64, rng: &mut ChaCha8Rng) -> Value {
        let kinds = &self.file.kinds;
        let mut at = rng.random::<f64>() * kinds.iter().map(|k| k.weight).sum::<f64>();
        let drawn = kinds.iter().find(|k| {
            at -= k.weight;
            at < 0.0
        });
        self.trouble(drawn.unwrap_or(&kinds[0]), length, rng)
    }

    fn trouble(&self, k: &KindRange, length: f64, rng: &mut ChaCha8Rng) -> Value {
        let mut t = json!({
            "kind": k.kind,
            "at_ms": (between(rng, k.at) * length) as u64,
            "for_ms": between(rng, k.for_ms) as u64,
            "share": milli(between(rng, k.share)),
            "size": milli(between(rng, k.size)),
        });
        if !k.to.is_empty() {
            t["to"] = json!(k.to);
        }
        if !k.halls.is_empty() {
            t["hall"] = json!(k.halls[rng.random_range(0..k.halls.len())]);
        }
        if !k.when.is_empty() {
            t["when"] = json!(k.when[rng.random_range(0..k.when.len())]);
        }
        t
    }
}

/// Sets in `base` what is in `with`, map by map.
fn merge(base: &mut Value, with: &Value) {
    match with {
        Value::Object(with) => with.iter().for_each(|(k, v)| merge(&mut base[k.as_str()], v)),
        Value::Null => {}
        v => *base = v.clone(),
    }
}

fn between(rng: &mut ChaCha8Rng, (lo, hi): Span) -> f64 {
    lo + (hi - lo) * rng.random::<f64>()
}

fn count(rng: &mut ChaCha8Rng, (lo, hi): Span) -> u64 {
    rng.random_range(lo as u64..=(hi as u64).max(lo as u64))
}

fn milli(x: f64) -> f64 {
    (x * 1e3).round() / 1e3
}

/// A day as a script.
pub(crate) fn yaml(day: &Value) -> String {
    // JSON is YAML: what cannot be written in the one form can in the other.
    let text = serde_saphyr::to_string(day).ok();
    let same = |text: &String| read_yaml::<Value>("", text).is_ok_and(|read| read == *day);
    text.filter(same).unwrap_or_else(|| day.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ranges(file: &str) -> Ranges {
        Ranges::load(&Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days").join(file)).unwrap()
    }

    const FILES: [&str; 2] = ["hunt.yaml", "hunt-members.yaml"];

    #[test]
    fn a_seed_draws_the_same_day_each_time_and_each_day_is_a_script() {
        for ranges in FILES.map(ranges) {
            for seed in 0..200 {
                let day = ranges.draw(seed);
                assert_eq!(day, ranges.draw(seed));
                let text = yaml(&day);
                Day::parse("drawn.yaml", &text).unwrap_or_else(|e| panic!("seed {seed}: {e}\n{text}"));
            }
            assert_ne!(ranges.draw(1)["troubles"], ranges.draw(2)["troubles"]);
        }
    }

    #[test]
    fn every_kind_is_drawn() {
        for ranges in FILES.map(ranges) {
            let days: Vec<_> = (0..300).map(|seed| ranges.draw(seed)).collect();
            for kind in &ranges.file.kinds {
                let has =
                    |d: &&Value| d["troubles"].as_array().unwrap().iter().any(|t| t["kind"] == kind.kind);
                assert!(days.iter().any(|d| has(&d)), "{} never", kind.kind);
            }
        }
    }

    #[test]
    fn what_is_set_otherwise_stands_in_each_day() {
        let day = ranges("hunt-members.yaml").draw(1);
        assert_eq!((&day["members"], &day["front"]["limits"]["attempts"]), (&json!(true), &json!(3)));
    }
}
