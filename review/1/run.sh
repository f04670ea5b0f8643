#!/usr/bin/env bash
# Consumers that pipeline leave early; the daemon of their machine ends.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/out/pipeline_leave ] && [ -x target/dragonflylane-platform ] || exit 2
timeout -k 2 115 review/out/pipeline_leave review/1
code=$?
[ $code -le 2 ] || code=2
exit $code
