#!/bin/bash
# Builds the stand-ins of the scripts in review/11 to 15, with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/lib-3/stand.rs -o target/review-3/stand
