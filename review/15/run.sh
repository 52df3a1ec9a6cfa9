#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/case-15 ] && [ -x target/platform/catkintackd-platform ] || exit 2
timeout -k 2 115 target/review-3/case-15
code=$?
[ $code -le 1 ] && exit $code
exit 2
