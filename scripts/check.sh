#!/usr/bin/env bash
# Checks formatting, lints and documentation. Tests are a separate command: cargo test --workspace.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo fmt --all --check
cargo clippy --workspace --all-targets --quiet -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --quiet
