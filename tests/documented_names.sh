#!/bin/sh
# Every name in `code` and every src/ path in docs/architecture.md exists in the sources. $1: the project's root.
cd "$1" || exit 1
page=docs/architecture.md
missing=0
for name in $(grep -oE '`[A-Za-z_-]+`' "$page" | tr -d '`' | sort -u); do
  grep -rqw -- "$name" src CMakeLists.txt soak/CMakeLists.txt && continue
  case $name in code | documented_names) continue ;; esac
  echo "$page names $name, which is not in the sources"
  missing=1
done
for path in $(grep -oE 'src/[a-z_]+(/[a-z_]+\.h)?' "$page" | sort -u); do
  [ -e "$path" ] && continue
  echo "$page names $path, which does not exist"
  missing=1
done
exit $missing
