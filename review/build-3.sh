#!/usr/bin/env bash
# Builds the stand-ins of the script cases 11 to 15, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
