#!/bin/sh
# Runs the program's commands with valid and invalid arguments, operator's files and change documents, and prints
# the first line of output and the exit code of each. $1: path of the program.
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
check_file() {
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
check_file ''
check_file 'fleet {\n name = "a"\n listen = "127.0.0.1:1"\n peer "b" { address = "127.0.0.1:2" }\n}\nstore { folder = "s" }\n'
check_file 'fleet {\n name = "a"\n listen = "127.0.0.1:1"\n lease = 0.01\n}\n'
check_file 'fleet {\n name = "a"\n listen = "127.0.0.1:1"\n lease = soon\n}\n'
check_file 'fleet {\n name = "a"\n listen = "here"\n}\n'
check_file 'fleet {\n name = "a"\n listen = "127.0.0.1:1"\n}\n\nfleet {\n name = "b"\n}\n'
check_file 'fleet {\n name = "a"\n leese = 2\n}\n'
check_file 'fleet {\n name = "a"\n listen = "127.0.0.1:1"\n peer "b" { address = "127.0.0.1:2" }\n peer "b" { address = "127.0.0.1:3" }\n}\n'
check_file 'fleet {\n name = "a"\n listen = "127.0.0.1:1"\n peer "b" { address = "127.0.0.1:1" }\n}\n'
check_file 'fleet {\n name = "a"\n listen = "127.0.0.1:1"\n beat = 2\n}\n'
check_file 'fleet {\n name = "a"\n listen = "127.0.0.1:1"\n purges = false\n}\n'
check_file 'fleet {\n name = "a"\n listen = "127.0.0.1:1"\n purges = false\n share = true\n}\n'
check_file 'store { folder = "s" }\n'
check_file 'boxes { tell_purges = true }\n'
check_file 'log { form = "xml" }\n'
check_file 'learnt { file = "l" }\n'
check_file 'learnt { }\n'
check_file 'control {\n socket = "s"\n'
check_file 'control {\n socket = "s'
echo "# changes"
fleet='fleet {\n name = "a"\n listen = "127.0.0.1:1"\n purges = false\n share = true\n peer "b" { address = "127.0.0.1:2" }\n}\n'
check_file 'changes {\n folder = "docs"\n generation = "g1"\n}\n'
check_file "$fleet"'changes { folder = "docs" }\n'
check_file "$fleet"'changes {\n folder = "nowhere"\n generation = "g1"\n}\n'
mkdir docs
check_documents() {
  printf "$1" >docs/d.conf
  check_file "$fleet"'changes {\n folder = "docs"\n generation = "g1"\n}\n'
}
change='change "c" {\n before = "g1"\n after = "g2"\n by = "ana"\n'
check_documents ''
check_documents "$change"' settings = {"allowed.cancel=false"}\n}\n'
check_documents "$change"' settings = {"rules.fall_multiple=9"}\n}\n'
check_documents "$change"' settings = {"allowed.cancel"}\n}\n'
check_documents "$change"' program = "/bin/x"\n}\n'
check_documents "$change"' settings = {"allowed.cancel=false"}\n stages = {0, 0.5}\n}\n'
check_documents "$change"' settings = {"allowed.cancel=false"}\n longest = soon\n}\n'
check_documents "$change"' settings = {"allowed.cancel=false"}\n'
check_documents 'window "w" {\n zone = "Europe/Atlantis"\n from = "12-24 18:00"\n until = "01-02 09:00"\n by = "bo"\n}\n'
check_documents 'window "w" {\n zone = "UTC"\n from = "24.12. 18:00"\n until = "01-02 09:00"\n by = "bo"\n}\n'
check_documents 'window "w" {\n zone = "UTC"\n from = "12-24 18:00"\n until = "01-02 09:00"\n by = "bo"\n blocks = {lunch}\n}\n'
check_documents 'exception "e" {\n change = "c"\n window = "w"\n reason = "r"\n approvers = {"ana"}\n until = "2026-12-26 18:00"\n}\n'
check_documents 'exception "e" {\n change = "c"\n window = "w"\n reason = "r"\n approvers = {"ana", "Ana "}\n until = "2026-12-26 18:00"\n}\n'
check_documents 'stop "c" { }\n'
check_documents 'freeze "w" { }\n'
