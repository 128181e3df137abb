#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start. Needs the Rust toolchain alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand review/stand/main.rs
