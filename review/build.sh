#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/cases review/standin/main.rs
