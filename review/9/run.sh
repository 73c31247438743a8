#!/usr/bin/env bash
# Plays this case: exit 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 does the same without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
probe=$root/review/probe/target/probe
if [ ! -x "$probe" ] || [ ! -x "$root/target/cicada-router" ]; then
	echo "run the build of the deploy file and review/build-2.sh first" >&2
	exit 2
fi
timeout -k 5 110 "$probe" restore "$root" "$here/record.txt"
code=$?
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
