#!/usr/bin/env bash
# Builds the scripts of the second review with their stand-ins; the compiler's own library is all that
# they need.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 --crate-name cases -O -o target/review-2/cases review/cases-2.rs
