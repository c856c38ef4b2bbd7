#!/usr/bin/env bash
# run-play.sh PLAY FOLDER: plays one case and ends every process that it started. Exit code: 1 if the
# rule was broken, 0 if it held, 2 if the case could not run.
set -u
play=$1 folder=$(cd "$2" && pwd)
review=$(cd "$(dirname "$0")" && pwd)
JASPERMOOR_ROOT=$(dirname "$review")
export JASPERMOOR_ROOT
if [ ! -x "$JASPERMOOR_ROOT/target/release/jaspermoor" ]; then
  echo "the project is not built: cargo build --release --workspace --locked"
  exit 2
fi
"$review/build.sh" || exit 2
REVIEW_SCRATCH=$(mktemp -d) || exit 2
export REVIEW_SCRATCH
timeout 110 "$review/standins/bin/standins" "$play" "$folder"
code=$?
# What a play that was cut off has left: a file for each process that is not known to have ended.
for file in "$REVIEW_SCRATCH"/pid-*; do
  [ -e "$file" ] && kill -KILL "${file##*/pid-}" 2>/dev/null
done
rm -rf "$REVIEW_SCRATCH"
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
