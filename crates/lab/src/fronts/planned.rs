//! Planned restarts, new configurations, and what is looked at of processes while they run.

use super::*;

/// Descriptors and memory are looked at so often, and whether a process has ended.
const LOOK: Duration = Duration::from_millis(100);
/// What a process may hold on the platform's days, as its configuration says.
pub(crate) const SOCKETS: usize = 256;
/// The same of memory.
pub(crate) const MEMORY_MB: usize = 64;

impl Fronts {
    /// How a front takes what clients send.
    pub fn phase(&self, front: usize) -> Phase {
        self.slot(front).phase
    }

    /// It has passed its test.
    pub fn open(&self, front: usize) {
        let mut slot = self.slot(front);
        if slot.phase == Phase::Starting {
            slot.phase = Phase::Open;
        }
    }

    /// No new connection goes to a front that was told to stop.
    pub fn close(&self, front: usize) {
        let mut slot = self.slot(front);
        if slot.phase == Phase::Stopping {
            slot.phase = Phase::Closing;
        }
    }

    /// No request goes to a front that is about to be killed.
    pub fn shut(&self, front: usize) {
        let mut slot = self.slot(front);
        if slot.child.is_some() {
            slot.phase = Phase::Ending;
        }
    }

    /// Tells a front to stop; whether it runs.
    pub fn terminate(&self, front: usize) -> bool {
        {
            let mut slot = self.slot(front);
            if slot.child.is_none() {
                return false;
            }
            slot.phase = Phase::Stopping;
        }
        self.log.put(Seen::FrontTerminated { front });
        self.signal(front, Signal::TERM);
        true
    }

    /// Has a front read a configuration that names another address of discovery.
    ///
    /// # Errors
    /// It can't be written.
    pub fn reconfigure(&self, front: usize, channel: u16) -> std::io::Result<()> {
        let path = self.config_path(front);
        let text = std::fs::read_to_string(&path)?;
        let mut config: serde_json::Value = serde_json::from_str(&text)?;
        let own = front_host(self.command.host, front);
        config["channel"] = format!("{own}:{channel}").into();
        std::fs::write(&path, config.to_string())?;
        self.signal(front, Signal::HUP);
        Ok(())
    }

    pub(super) fn config_path(&self, front: usize) -> PathBuf {
        self.command.dir.join(format!("front-{front}.yaml"))
    }

    /// Looks at all processes until the day ends: that none ends by itself before it is told to, and none holds too much.
    pub async fn watch(self: Arc<Self>) {
        loop {
            tokio::time::sleep(LOOK).await;
            (0..self.count()).for_each(|front| self.look(front));
        }
    }

    fn look(&self, front: usize) {
        let mut slot = self.slot(front);
        let Some(child) = &mut slot.child else { return };
        if let Ok(Some(status)) = child.try_wait() {
            let told = matches!(slot.phase, Phase::Stopping | Phase::Closing | Phase::Ending);
            (slot.child, slot.phase) = (None, Phase::Down);
            drop(slot);
            self.log.put(match told && status.success() {
                true => Seen::FrontExited { front },
                false => Seen::FrontCrashed { front, how: status.to_string() },
            });
            return self.log.put(Seen::FrontDown { front });
        }
        let Some(pid) = child.id() else { return };
        drop(slot);
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
        if descriptors > SOCKETS {
            self.log.put(Seen::OverLimit { front, what: format!("{descriptors} descriptors") });
        }
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let resident =
            status.lines().find_map(|l| l.strip_prefix("VmRSS:")?.split_whitespace().next()?.parse().ok());
        if resident.is_some_and(|kb: usize| kb > MEMORY_MB * 1024) {
            self.log.put(Seen::OverLimit { front, what: format!("{} kB of memory", resident.unwrap_or(0)) });
        }
    }
}
