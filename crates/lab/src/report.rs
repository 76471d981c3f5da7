//! A day's outcome as text.

use crate::day::Outcome;
use std::fmt::Write;

/// For reading on a terminal.
pub fn text(o: &Outcome) -> String {
    let mut out = String::new();
    let s = &o.score;
    let (w, p) = (&mut out, |x: f64| format!("{x:.3}"));
    // Writing to a string does not fail.
    let _ = writeln!(
        w,
        "{} (seed {}), policy {}: {} servers, {} fronts, {} viewers",
        o.day, o.seed, o.policy, o.servers, o.fronts, o.viewers
    );
    let classes: Vec<_> = s.classes.iter().map(|(name, part)| format!("{name} {part:.3}")).collect();
    let _ = writeln!(w, "worth served over worth asked  {}   ({})", p(s.served), classes.join(", "));
    let windows: Vec<_> = s.windows.iter().map(|x| format!("{x:.2}")).collect();
    let _ = writeln!(w, "by windows of 10 s             {}   worst {}", windows.join(" "), p(s.worst_window));
    let answers: Vec<_> = s.answers.iter().map(|(status, n)| format!("{status}: {n}")).collect();
    let _ = writeln!(w, "answers to calls               {}", answers.join(", "));
    let _ = writeln!(
        w,
        "came to play {}, of them late {}; broke while playing {}; servers fallen over {}",
        s.playing, s.late, s.breaks, o.toppled
    );
    for (name, h) in [("set-up", &s.setup_ms), ("object", &s.object_ms)] {
        let _ = writeln!(
            w,
            "{name:7} ms  p50 {:.1}  p90 {:.1}  p99 {:.1}  max {:.1}  ({})",
            h.p50, h.p90, h.p99, h.max, h.count
        );
    }
    for f in &o.faults {
        let ms = |t: Option<u64>| t.map_or("-".into(), |t| t.to_string());
        let _ = writeln!(
            w,
            "wires: {}, {} to {} ms; touched {} datagrams and {} parts of streams, {} to {} ms",
            f.what,
            f.from_ms,
            ms(f.until_ms),
            f.datagrams,
            f.parts,
            ms(f.first_ms),
            ms(f.last_ms)
        );
    }
    for r in &o.rules {
        let state = match (&r.first, r.checked) {
            (Some(_), _) => "BROKEN",
            (None, 0) => "not tested",
            (None, _) => "kept",
        };
        let _ =
            writeln!(w, "rule {} {:45} {state}  ({} cases, {} broken)", r.rule, r.name, r.checked, r.broken);
        if let Some(first) = &r.first {
            let _ = writeln!(w, "       first: {first}");
        }
    }
    if let Some(l) = &o.left {
        let state = if l.first.is_some() { "BROKEN" } else { "kept" };
        let _ = writeln!(
        w,
        "viewers who left get no attempt{:21} {state}  ({} left, {} of them tried before, {} attempts after, longest {:.1} ms, {} over 100 ms)",
        "", l.sessions, l.tried, l.after, l.longest_ms, l.broken
    );
        if let Some(first) = &l.first {
            let _ = writeln!(w, "       first: {first}");
        }
    }
    out
}
