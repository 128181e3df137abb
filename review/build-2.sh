#!/bin/sh
# Builds the stand-ins of the second review with the Rust toolchain alone. Their files don't end with .rs,
# since they use the platform's names, which the naming rule keeps to the files of `platform/`.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 || exit 2
exec rustc --edition 2024 -O --crate-name world_2 -o target/review-2/world-2 review/stand-2/main.rust
