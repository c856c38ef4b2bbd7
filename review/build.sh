#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program, from the standard library and, for the XMPP
# client, the rustls that the project's own build has left in target/release/deps. No network.
set -euo pipefail
cd "$(dirname "$0")"
program=standins/bin/standins
newest=$(ls -t standins/*.rs ../target/release/jaspermoor | head -1)
if [ -x "$program" ] && [ ! "$newest" -nt "$program" ]; then
  exit 0
fi
mkdir -p standins/bin
deps=../target/release/deps
rustls=$(ls -t $deps/librustls-*.rlib | head -1)
rustc --edition 2021 -O -L dependency=$deps --extern rustls="$rustls" -o "$program.new" standins/main.rs
mv "$program.new" "$program"
