#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/ahead ] && [ -x target/fulmarledge-node ] || exit 2
timeout -k 2 115 target/review-2/ahead review/10
status=$?
[ $status -le 1 ] && exit $status
exit 2
