#!/usr/bin/env bash
# A daemon restarts after a Deregister call; a late status report arrives.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/out/late_report ] && [ -x target/dragonflylane-platform ] || exit 2
timeout -k 2 115 review/out/late_report review/5
code=$?
[ $code -le 2 ] || code=2
exit $code
