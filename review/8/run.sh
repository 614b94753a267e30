#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/rate_after_kills
[ -x "$program" ] || exit 2
timeout --kill-after=5 110 "$program" review/8
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
