#!/usr/bin/env bash
# Builds the stand-ins and the driver of the script cases. Standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/driver review/platform/main.rs
