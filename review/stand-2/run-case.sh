#!/usr/bin/env bash
# Runs the case in review/$1: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/../.."
program=target/review-2/case-$1
[ -x "$program" ] && [ -x target/ibisforkd ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 "$program" "$PWD/target/ibisforkd" "$folder" "review/$1/record.txt"
status=$?
# The node ends with its case; one of a case that was stopped is ended here.
for pid in $(cat "$folder"/*.pid 2>/dev/null); do
    kill -KILL "$pid" 2>/dev/null
done
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
