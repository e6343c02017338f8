#!/bin/sh
# Builds the stand-ins of the second review without a network, in a folder of their own.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked \
    --manifest-path review/stand_in_2/Cargo.toml --target-dir target/review-2
