#!/usr/bin/env bash
# Runs case 10. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the
# disruption. Build first: the line build of deploy/system.toml, then review/build-2.sh.
cd "$(dirname "$0")/../.."
[ -x target/review-2/case-10 ] && [ -x target/dragonflylane-platform ] || exit 2
timeout -k 1 115 target/review-2/case-10 review/10
result=$?
[ $result -le 1 ] || exit 2
exit $result
