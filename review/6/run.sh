#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the same
# without the disruption. KEEP=1 keeps the settings and logs of the hosts in their temporary folder.
cd "$(dirname "$0")/../.." || exit 2
program=target/platform/catkintackd-platform
case=target/review-2/case-6
[ -x "$program" ] && [ -x "$case" ] || { echo "build first: the deploy file, then review/build-2.sh"; exit 2; }
timeout 115 "$case" "$program" review/6/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
