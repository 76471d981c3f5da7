#!/bin/bash
# Builds the stand-ins of cases 6 to 10. They use the standard library alone, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
