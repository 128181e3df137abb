#!/bin/sh
# Builds the stand-ins of the second review with the Rust toolchain alone.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 || exit 2
exec rustc --edition 2024 -O -A warnings -o target/review-2/world-2 review/stand-2/main.rs
