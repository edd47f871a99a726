#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review: one program, without dependencies. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/case review/standins-2/main.rs
