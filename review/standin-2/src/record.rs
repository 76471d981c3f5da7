//! The record of a run, and small helpers for text and time.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Writes one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = Arc::new(Mutex::new(File::create(path).expect("record.txt can be written")));
        Record { file, start: Instant::now() }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, who: &str, what: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.4} {who:<12} {}", self.now(), what.as_ref());
    }

    /// Writes a line of the verdict, also to standard output.
    pub fn verdict(&self, what: impl AsRef<str>) {
        println!("{}", what.as_ref());
        self.line("VERDICT", what);
    }
}

pub fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// Waits until `done` holds; returns whether it did within the time.
pub fn wait_for(seconds: f64, mut done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    while !done() {
        if Instant::now() >= end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    true
}

/// The raw text of a JSON field: what stands between the quotes of a string, or a number.
pub fn json_field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\":");
    let rest = text[text.find(&key)? + key.len()..].trim_start();
    if let Some(string) = rest.strip_prefix('"') {
        let mut escaped = false;
        for (i, c) in string.char_indices() {
            match c {
                '"' if !escaped => return Some(&string[..i]),
                '\\' => escaped = !escaped,
                _ => escaped = false,
            }
        }
        return None;
    }
    let end = rest.find([',', '}', ']']).unwrap_or(rest.len());
    Some(rest[..end].trim())
}
