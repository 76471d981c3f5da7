//! Structured logs on standard error.

mod rate_limit;
mod writer;

use clap::{Args, ValueEnum};
use tracing_subscriber::EnvFilter;
use writer::LimitedStderr;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum LogForm {
    /// Plain text for people.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Command-line options for the log: format and filter.
#[derive(Clone, Debug, Args)]
pub struct Logs {
    /// Format of the log lines.
    #[arg(long, value_enum, default_value_t)]
    pub log: LogForm,
    /// Log filter: a level, or targets with levels such as `cloverhollow_front=debug,warn`.
    #[arg(long, default_value = "info")]
    pub log_level: String,
}

impl Logs {
    /// Installs the global log subscriber. A filter that cannot be parsed counts as `info`.
    pub fn start(&self) {
        let filter = EnvFilter::try_new(&self.log_level).unwrap_or_else(|_| EnvFilter::new("info"));
        let base =
            tracing_subscriber::fmt().with_env_filter(filter).with_writer(LimitedStderr::new(self.log));
        // Fails without effect when a subscriber is already installed, as in tests.
        let _ = match self.log {
            LogForm::Text => base.with_ansi(false).try_init(),
            LogForm::Json => base.json().flatten_event(true).try_init(),
        };
    }
}
