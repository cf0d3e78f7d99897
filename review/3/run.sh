#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/review/cases target/release/baydrift; do
    [ -x "$program" ] || { echo "$program is missing: build first"; exit 2; }
done
exec target/review/cases drain review/3/record.txt
