#!/usr/bin/env bash
# Builds what the scripts of the second review start, besides the programs of the deploy file. It
# needs no network after the build of the deploy file: its libraries are among those of the gateway,
# in the same versions.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/stand-2/Cargo.toml \
  --target-dir target/review-2
