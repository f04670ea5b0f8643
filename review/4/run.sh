#!/usr/bin/env bash
# A split whose weights are above 10,000.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/out/split_weights ] && [ -x target/dragonflylane-platform ] || exit 2
timeout -k 2 115 review/out/split_weights review/4
code=$?
[ $code -le 2 ] || code=2
exit $code
