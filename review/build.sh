#!/usr/bin/env bash
# Builds the stand-ins and checks of the cases, without a network. The daemons are built by
# `cargo build --release` in the root.
set -euo pipefail
cd "$(dirname "$0")/standins"
CARGO_TARGET_DIR=../../target/review cargo build --release --offline --locked
