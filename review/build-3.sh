#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file and without a network.
set -eu
top=$(cd "$(dirname "$0")/.." && pwd)
CARGO_TARGET_DIR="$top/target/review-3" cargo build --release --offline --locked \
    --manifest-path "$top/review/stand_in_3/Cargo.toml"
