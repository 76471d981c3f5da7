//! Servers that get worse for a while.

use super::*;

impl Stage {
    /// Links or set-ups that get worse and then well again.
    pub(super) async fn weaken(&self, c: &Cast, end: Duration) {
        let (kind, size) = (c.trouble.kind, c.trouble.size.get());
        let set = |on: bool, part: f64| {
            let mut fleet = self.world.fleet();
            for id in &c.servers {
                let Some(s) = fleet.servers.get_mut(id) else { continue };
                match kind {
                    Kind::Slow => s.link_factor = if on { 1.0 / size } else { 1.0 },
                    Kind::Neighbour => s.taken = if on { size } else { 0.0 },
                    _ => s.ageing = 1.0 + (size - 1.0) * part,
                }
            }
        };
        let (begun, steps) = (self.log.now(), 20);
        for step in 1..=steps {
            // Another program comes and goes: two parts of three it is there.
            let on = kind != Kind::Neighbour || step % 6 < 4;
            set(on, f64::from(step) / f64::from(steps));
            self.until(begun + end.saturating_sub(begun) * step as u32 / steps as u32).await;
        }
        set(false, 0.0);
    }
}
