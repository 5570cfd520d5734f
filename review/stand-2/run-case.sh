#!/usr/bin/env bash
# Runs the case in review/$1: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=target/review-2/case-$1
if [ ! -x "$program" ] || [ ! -x target/ibisforkd ]; then
    echo "build with the command of deploy/system.toml and with review/build-2.sh first" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
case_process=
# Ends the case and the nodes that it has started, also if it or its time limit is stopped. The case goes first, so that
# it starts no node afterwards.
end() {
    [ -z "$case_process" ] || kill "$case_process" 2>/dev/null
    [ ! -e "$folder/case" ] || kill -KILL "$(cat "$folder/case")" 2>/dev/null
    [ -z "$case_process" ] || wait "$case_process" 2>/dev/null
    for pid in $(cat "$folder"/*.pid 2>/dev/null); do
        kill -KILL "$pid" 2>/dev/null
    done
    rm -rf "$folder"
}
trap end EXIT
trap 'exit 2' INT TERM HUP
# The shell writes its own id, which stays that of the program.
timeout -k 5 110 bash -c 'echo $$ >"$2/case" && exec "$0" "$1" "$2" "$3"' \
    "$program" "$PWD/target/ibisforkd" "$folder" "review/$1/record.txt" &
case_process=$!
wait "$case_process"
status=$?
case_process=
# A program that has ended by itself has nothing left to end; its id may be another's by now.
[ "$status" -gt 1 ] || rm -f "$folder/case"
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
