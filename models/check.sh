#!/bin/sh
# check.sh SPIN MODEL: verifies that the model holds, and that each mistake that it can be built with is found.
set -eu
spin=$1 model=$2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
verify() {
  "$spin" -DMISTAKE="$1" -a "$model" >/dev/null
  cc -O2 -DSAFETY -DMEMLIM=3000 -w -o pan pan.c
  ./pan -m1000000 >out 2>&1 || true
  # A search that ran out of memory or depth proves nothing.
  if grep -qE 'Search not completed|too small|MEMLIM bound' out && grep -q 'errors: 0' out; then
    cat out
    echo "the search was not completed"
    exit 1
  fi
  grep -q 'errors: 0' out
}
verify 0 || { cat out; echo "the model does not hold"; exit 1; }
grep -E 'states, stored' out
for mistake in $(sed -n 's/^ \* MISTAKE \([0-9]*\):.*/\1/p' "$model"); do
  if verify "$mistake"; then echo "mistake $mistake was not found"; exit 1; fi
  echo "mistake $mistake found"
done
