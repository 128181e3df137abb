#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases with the toolchain alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/cases review/stand-3/main.rust
