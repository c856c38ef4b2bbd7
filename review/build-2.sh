#!/bin/sh
# Builds the stand-ins of the second review and the program that plays its cases, in target/review-2.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
