#!/usr/bin/env bash
# Builds the stand-ins and drivers of the third review's scripts. They have no dependencies, so this
# needs no network. The gateway itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand-3/Cargo.toml --target-dir target/stand-3
