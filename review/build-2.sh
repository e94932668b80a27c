#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file and without a
# network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/play-2/Cargo.toml --target-dir target/review-2
