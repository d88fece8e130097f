#!/bin/sh
# Shows that the soak can fail: plants a fault in a copy and plays seeds until it is found, 50 at most.
#   soak/planted/play.sh COPY SOAK PATCH [SECONDS] [PROCESSES]   from the project's root
set -eu
copy=$1 soak=$2 patch=$3 seconds=${4:-15} processes=${5:-12}
name=$(basename "$patch" .patch)
rm -rf "$copy"
git clone -q . "$copy"
git -C "$copy" apply "$PWD/$patch"
cmake -S "$copy" -B "$copy/build" -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build "$copy/build" -j2 --target walkpaddle > "$copy/build.log" 2>&1
for seed in $(seq 1001 1050); do
  "$soak" --seed "$seed" --seconds "$seconds" --processes "$processes" --program "$copy/build/walkpaddle" \
    --folder "$copy/soak-files" > "$copy/soak.txt" && continue
  echo "$name: found by seed $((seed - 1000)) of 50: $(grep -E '^  [a-z_]+ [0-9]+$' "$copy/soak.txt" | paste -sd' ')"
  exit
done
echo "$name: NOT FOUND in 50 seeds"
