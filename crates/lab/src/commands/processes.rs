//! Processes of a day, started by `day`.

use super::Failure;
use clap::Args;
use cloverhollow_cli::{serve, Logs, Serve};
use cloverhollow_lab::policies::PolicyName;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::Runtime;

/// What `node` is given.
#[derive(Args)]
pub struct Node {
    #[arg(long)]
    config: PathBuf,
    #[command(flatten)]
    logs: Logs,
}

/// What `front` is given.
#[derive(Args)]
pub struct Front {
    #[arg(long)]
    config: PathBuf,
    #[arg(long)]
    policy: PolicyName,
    #[arg(long)]
    record: Option<PathBuf>,
    #[command(flatten)]
    logs: Logs,
}

impl Node {
    /// Runs it.
    pub fn run(self) -> Result<ExitCode, Failure> {
        let Node { config, logs } = self;
        logs.start();
        let one = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        one.block_on(cloverhollow_node::run(config))?;
        Ok(ExitCode::SUCCESS)
    }
}

impl Front {
    /// Runs it.
    pub fn run(self, runtime: &Runtime) -> Result<ExitCode, Failure> {
        let Front { config, policy, record, logs } = self;
        logs.start();
        let it = Serve { config, record };
        runtime.block_on(serve(&it, |settings, seed| policy.make(settings, seed)))?;
        Ok(ExitCode::SUCCESS)
    }
}
