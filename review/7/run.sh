#!/bin/sh
# Plays the case; exit code 1 where the rule was broken, 0 where it held, 2 where it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/jaspermoor ] && [ -x target/review-2/review-2 ] || exit 2
exec target/review-2/review-2 keyed-window review/7/record.txt
