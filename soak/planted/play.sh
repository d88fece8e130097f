#!/bin/sh
# Shows that the soak can fail: plants each fault in a copy and plays seeds until it is found, 50 at most.
#   soak/planted/play.sh COPY SOAK [SECONDS] [PROCESSES]   from the project's root
set -eu
copy=$1 soak=$2 seconds=${3:-15} processes=${4:-12}
for patch in soak/planted/*.patch; do
  name=$(basename "$patch" .patch)
  rm -rf "$copy"
  git clone -q . "$copy"
  git -C "$copy" apply "$PWD/$patch"
  cmake -S "$copy" -B "$copy/build" -DCMAKE_BUILD_TYPE=Release > /dev/null
  cmake --build "$copy/build" -j4 --target walkpaddle > "$copy/build.log" 2>&1
  found=0
  for seed in $(seq 1001 1050); do
    if ! "$soak" --seed "$seed" --seconds "$seconds" --processes "$processes" --program "$copy/build/walkpaddle" \
      --folder "$copy/soak" > "$copy/soak.txt"; then
      found=$seed
      break
    fi
  done
  [ "$found" -gt 0 ] && echo "$name: found by seed $((found - 1000)) of 50: $(grep -E '^  [a-z_]+ [0-9]+$' "$copy/soak.txt" | paste -sd' ')" \
    || echo "$name: NOT FOUND in 50 seeds"
done
