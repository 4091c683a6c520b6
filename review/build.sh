#!/bin/sh
# Builds the stand-ins that the scripts start, without a network: they have no dependencies.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin/Cargo.toml --target-dir target/review
