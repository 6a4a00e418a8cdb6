#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. Needs no network and no libraries.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/harness-3/Cargo.toml --target-dir target/review-3
