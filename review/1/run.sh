#!/bin/sh
# Plays the case and writes record.txt here. Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays it without the disruption. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/walkpaddle ] && [ -x review/build/case1 ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
pid=
trap 'rm -rf "$TMPDIR"' EXIT
trap 'kill -KILL $pid 2>/dev/null; wait $pid 2>/dev/null; sleep 0.2; exit 2' HUP INT TERM
review/build/case1 &
pid=$!
wait $pid
code=$?
[ $code -le 2 ] || code=2
exit $code
