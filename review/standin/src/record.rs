//! The record of a run: one line for each thing that was sent, answered or run, with the seconds since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|e| crate::cannot_run(&format!("{path}: {e}")));
        Record { started_at: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn note(&self, who: &str, text: &str) -> f64 {
        let mut file = self.file.lock().unwrap();
        let now = self.now();
        let _ = writeln!(file, "{now:9.4} {who:<14} {}", text.replace('\r', "\\r").replace('\n', "\\n"));
        now
    }

    pub fn append(&self, title: &str, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "\n{title}\n{text}");
    }

    /// Sleeps until that time of the run.
    pub fn wait_until(&self, at: f64) {
        while self.now() < at {
            std::thread::sleep(std::time::Duration::from_secs_f64((at - self.now()).clamp(0.0005, 0.05)));
        }
    }
}
