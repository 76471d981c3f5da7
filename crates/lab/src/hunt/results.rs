//! What earlier runs of a hunt left, and what was found as text.

use super::*;

pub(super) fn read_results(path: &Path) -> Result<Vec<Played>, HuntError> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(e) => return Err(io(path)(e)),
    };
    // A run that was ended while it wrote leaves half a line: that day is played again.
    let whole = text.rfind('\n').map_or("", |i| &text[..i]);
    if whole.len() + 1 < text.len() {
        std::fs::write(path, if whole.is_empty() { String::new() } else { format!("{whole}\n") })
            .map_err(io(path))?;
    }
    let results = whole.lines().map(serde_json::from_str).collect::<Result<_, _>>();
    results.map_err(|source| HuntError::Results { path: path.display().to_string(), source })
}

impl Found {
    /// For reading on a terminal.
    pub fn text(&self) -> String {
        let mut out = format!(
            "{} days ({} of an earlier run), {} fronts killed on them, {} at once, {:.1} minutes\n",
            self.days,
            self.resumed,
            self.deaths,
            self.jobs,
            self.seconds / 60.0
        );
        for r in &self.broken {
            for (broke, words) in &r.broke {
                out += &format!("seed {}: {broke:?}: {words}\n", r.seed);
            }
        }
        out + &format!("{} days broke something\n", self.broken.len())
    }
}
