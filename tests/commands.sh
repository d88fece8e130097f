#!/bin/sh
# Commands of the program, their words and exit codes, and operator's files that must be refused. $1: the program.
program=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work" || exit 1
unset LB_CONFIG WALKPADDLE_FILE
run() {
  "$program" "$@" >out 2>&1
  code=$?
  sed "s#$work/##g" out | head -n 1
  echo "  exit $code"
}
file() {
  printf "$1" >file.conf
  run check file.conf
}
run
run nonsense
run purge tag
run purge tag x
run purge --socket nowhere tag x
run purge --socket nowhere tag x --within 0
run fleet
run fleet --socket nowhere
run check nothing.conf
echo "# files"
file ''
file 'fleet {\n name = "a"\n listen = "127.0.0.1:1"\n peer "b" { address = "127.0.0.1:2" }\n}\nstore { folder = "s" }\n'
file 'fleet {\n name = "a"\n listen = "127.0.0.1:1"\n lease = 0.01\n}\n'
file 'fleet {\n name = "a"\n listen = "127.0.0.1:1"\n lease = soon\n}\n'
file 'fleet {\n name = "a"\n listen = "here"\n}\n'
file 'fleet {\n name = "a"\n listen = "127.0.0.1:1"\n}\n\nfleet {\n name = "b"\n}\n'
file 'fleet {\n name = "a"\n leese = 2\n}\n'
file 'fleet {\n name = "a"\n listen = "127.0.0.1:1"\n peer "b" { address = "127.0.0.1:2" }\n peer "b" { address = "127.0.0.1:3" }\n}\n'
file 'fleet {\n name = "a"\n listen = "127.0.0.1:1"\n peer "b" { address = "127.0.0.1:1" }\n}\n'
file 'fleet {\n name = "a"\n listen = "127.0.0.1:1"\n beat = 2\n}\n'
file 'fleet {\n name = "a"\n listen = "127.0.0.1:1"\n purges = false\n}\n'
file 'fleet {\n name = "a"\n listen = "127.0.0.1:1"\n purges = false\n share = true\n}\n'
file 'store { folder = "s" }\n'
file 'boxes { tell_purges = true }\n'
file 'log { form = "xml" }\n'
file 'learnt { file = "l" }\n'
file 'learnt { }\n'
file 'control {\n socket = "s"\n'
file 'control {\n socket = "s'
