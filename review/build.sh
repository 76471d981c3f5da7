#!/bin/bash
# Builds the stand-ins of the cases. They need no dependency and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
