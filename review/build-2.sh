#!/usr/bin/env bash
# Builds what the scripts of the second review start, besides the programs of the deploy file. It
# uses the standard library alone, and needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/stand-2/Cargo.toml \
  --target-dir target/review-2
