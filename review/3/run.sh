#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/fernring target/review/release/slow_reader; do
    [ -x "$program" ] || { echo "$program is missing: build it first" >&2; exit 2; }
done
exec target/review/release/slow_reader "$PWD" "$PWD/review/3"
