#!/bin/sh
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cicada-router ] && [ -x target/review-trial ] || {
	echo "build the deploy file and review/build-3.sh first" >&2
	exit 2
}
timeout 118 target/review-trial piece . review/13/record.txt
code=$?
[ $code -le 2 ] || code=2
exit $code
