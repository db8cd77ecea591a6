#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/harness ] && [ -x target/release/turmericloft ] || exit 2
exec timeout -k 5 110 target/review/harness 3 "$PWD" review/3
