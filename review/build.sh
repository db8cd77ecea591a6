#!/bin/sh
# Builds the stand-ins of the scripted cases. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/harness review/harness/main.rs
