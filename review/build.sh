#!/usr/bin/env bash
# Builds the stand-ins of the review; they need the standard library only.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand/Cargo.toml --target-dir target/review
