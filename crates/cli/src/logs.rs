//! Structured logs on standard error.

use clap::{Args, ValueEnum};
use tracing_subscriber::EnvFilter;

/// How a line of log looks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum LogForm {
    /// For reading.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// What is logged, and how.
#[derive(Clone, Debug, Args)]
pub struct Logs {
    /// Form of the log lines.
    #[arg(long, value_enum, default_value_t)]
    pub log: LogForm,
    /// What is logged: a level, or targets with levels as `cloverhollow_front=debug,warn`.
    #[arg(long, default_value = "info")]
    pub log_level: String,
}

impl Logs {
    /// Starts logging; a level that cannot be read counts as `info`.
    pub fn start(&self) {
        let filter = EnvFilter::try_new(&self.log_level).unwrap_or_else(|_| EnvFilter::new("info"));
        let base = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
        // A second start, as in tests, changes nothing.
        let _ = match self.log {
            LogForm::Text => base.with_ansi(false).try_init(),
            LogForm::Json => base.json().flatten_event(true).try_init(),
        };
    }
}
