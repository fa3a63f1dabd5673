#!/bin/bash
# Builds the stand-ins of all cases. Needs no network: they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml
