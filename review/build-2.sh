#!/bin/sh
# Builds the stand-ins of the second review and the program that plays its cases, in target/review-2:
# from the standard library and the rustls that the project's own build has left. No network.
set -e
cd "$(dirname "$0")/.."
deps=target/release/deps
out=target/review-2
newest=$(ls -t review/standins-2/src/*.rs review/standins-2/src/cases/*.rs target/release/jaspermoor | head -1)
if [ -x "$out/review-2" ] && [ ! "$newest" -nt "$out/review-2" ]; then
  exit 0
fi
rustls=$(ls -t $deps/librustls-*.rlib | head -1)
mkdir -p "$out"
rustc --edition 2021 -O --crate-type lib --crate-name review_2 -L "dependency=$deps" \
  --extern "rustls=$rustls" -o "$out/libreview_2.rlib" review/standins-2/src/lib.rs
rustc --edition 2021 -O --crate-name review_2_main -L "dependency=$deps" -L "dependency=$out" \
  --extern "review_2=$out/libreview_2.rlib" -o "$out/review-2.new" review/standins-2/src/main.rs
mv "$out/review-2.new" "$out/review-2"
