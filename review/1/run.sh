#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the trouble out.
cd "$(dirname "$0")/../.." || exit 2
export REVIEW_ROOT=$PWD
[ -x review/standins/bin/idle ] && [ -x target/fulmarledge-node ] || exit 2
timeout -k 5 110 review/standins/bin/idle review/1/record.txt
code=$?
[ $code -le 2 ] && exit $code
exit 2
