#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out
# the disruption. Writes record.txt beside this file.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/release/papayareel-gateway ] || { echo "build the gateway first" >&2; exit 2; }
[ -x target/stand-3/release/stand-3 ] || { echo "run review/build-3.sh first" >&2; exit 2; }
exec target/stand-3/release/stand-3 limits "$folder"
