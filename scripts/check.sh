#!/usr/bin/env bash
# Checks formatting, lints and documentation. Tests are a separate command: cargo test --workspace.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo fmt --all --check
cargo clippy --workspace --all-targets --quiet -- -D warnings
# Apart, as the program of heathertrack_cli and the library heathertrack are documented in one folder, which each
# of them removes first.
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --exclude heathertrack_cli --no-deps --quiet
RUSTDOCFLAGS="-D warnings" cargo doc --package heathertrack_cli --no-deps --quiet
