#!/usr/bin/env bash
# Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# usage: review/run-case.sh NUMBER
set -euo pipefail
number=$1
cd "$(dirname "$0")/.."
if [ ! -x target/ibisforkd ] || [ ! -x "review/bin/case-$number" ]; then
    echo "build with the command of deploy/system.toml and with review/build.sh first" >&2
    exit 2
fi
folder=$(mktemp -d)
case_process=
# The nodes end with the case, whose limit of time ends it otherwise.
end() {
    [ -z "$case_process" ] || kill "$case_process" 2>/dev/null || true
    [ -z "$case_process" ] || wait "$case_process" 2>/dev/null || true
    rm -rf "$folder"
}
trap end EXIT
trap 'exit 2' INT TERM HUP
timeout -k 1 115 "review/bin/case-$number" "$folder" "$PWD/review/$number/record.txt" &
case_process=$!
status=0
wait "$case_process" || status=$?
case_process=
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
