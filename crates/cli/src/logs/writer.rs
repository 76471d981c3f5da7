//! Writer of log lines that applies the rate limit.

use super::rate_limit::{Admission, RateLimit};
use super::LogForm;
use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;
use tracing::callsite::Identifier;
use tracing::{Level, Metadata};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::{FormatTime, SystemTime};
use tracing_subscriber::fmt::MakeWriter;

/// Makes writers to standard error, or writers that drop their line where a call site has written its share. Lines
/// below the level `info` are written in any case: they are off unless somebody asks for them.
pub(super) struct LimitedStderr {
    form: LogForm,
    rate_limit: Mutex<RateLimit<Identifier>>,
}

impl LimitedStderr {
    pub(super) fn new(form: LogForm) -> Self {
        LimitedStderr { form, rate_limit: Mutex::new(RateLimit::new()) }
    }

    fn admit(&self, metadata: &Metadata<'_>) -> Admission {
        if *metadata.level() > Level::INFO {
            return Admission::Write { suppressed: 0 };
        }
        let mut rate_limit = self.rate_limit.lock().unwrap_or_else(PoisonError::into_inner);
        rate_limit.admit(metadata.callsite(), Instant::now())
    }

    /// Line that tells how many lines of a call site were not written.
    fn suppression_note(&self, metadata: &Metadata<'_>, suppressed: u64) -> String {
        let mut timestamp = String::new();
        // A line without its time is better than none.
        let _ = SystemTime.format_time(&mut Writer::new(&mut timestamp));
        let (target, line) = (metadata.target(), metadata.line().unwrap_or_default());
        let message = "log lines suppressed";
        match self.form {
            LogForm::Text => {
                format!("{timestamp}  WARN {target}: {message} line={line} suppressed={suppressed}\n")
            }
            LogForm::Json => {
                let note = serde_json::json!({"timestamp": timestamp, "level": "WARN", "message": message,
                    "line": line, "suppressed": suppressed, "target": target});
                format!("{note}\n")
            }
        }
    }
}

impl<'a> MakeWriter<'a> for LimitedStderr {
    type Writer = LineWriter;

    fn make_writer(&'a self) -> LineWriter {
        LineWriter::Stderr
    }

    fn make_writer_for(&'a self, metadata: &Metadata<'_>) -> LineWriter {
        match self.admit(metadata) {
            Admission::Write { suppressed: 0 } => LineWriter::Stderr,
            Admission::Write { suppressed } => {
                let _ = io::stderr().write_all(self.suppression_note(metadata, suppressed).as_bytes());
                LineWriter::Stderr
            }
            Admission::Suppress => LineWriter::Dropped,
        }
    }
}

/// Where a line goes.
pub(super) enum LineWriter {
    Stderr,
    Dropped,
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            LineWriter::Stderr => io::stderr().write(bytes),
            LineWriter::Dropped => Ok(bytes.len()),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        io::stderr().flush()
    }
}
