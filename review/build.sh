#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the cases. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stand_in/Cargo.toml --target-dir target/review
