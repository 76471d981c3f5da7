//! Forecasts against what came.

use super::Failure;
use clap::Args;
use cloverhollow_lab::foretold::{big, one, Scores};
use std::process::ExitCode;

/// What `foretell` is given.
#[derive(Args)]
pub struct Foretell {
    /// How many layouts.
    #[arg(long, default_value_t = 20)]
    layouts: u64,
    /// What they are drawn from.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Measures one of 300 fronts, 200 servers and 1,000 titles instead.
    #[arg(long)]
    big: bool,
    /// Prints all as JSON.
    #[arg(long)]
    json: bool,
}

impl Foretell {
    /// Runs it, on one core.
    pub fn run(self) -> Result<ExitCode, Failure> {
        if self.big {
            println!("{}", serde_json::to_string_pretty(&big(self.seed)?).unwrap_or_default());
            return Ok(ExitCode::SUCCESS);
        }
        let seeds = (0..self.layouts).map(|i| self.seed.wrapping_mul(1_000).wrapping_add(i));
        let all = seeds.map(one).collect::<Result<Vec<_>, _>>()?;
        let scores = Scores::of(all);
        if self.json {
            println!("{}", serde_json::to_string_pretty(&scores).unwrap_or_default());
        } else {
            print!("{}", scores.text());
        }
        Ok(ExitCode::SUCCESS)
    }
}
