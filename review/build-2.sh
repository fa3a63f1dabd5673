#!/bin/bash
# Builds the stand-ins and the programs of cases 6 to 10, without a network: they use only the
# standard library. The proxy itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
cargo build --release --offline --locked --target-dir ../../target/review-2
