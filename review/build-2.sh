#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and later start. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/lib-2/main.rs
