#!/usr/bin/env bash
# Runs a case of the second review: run-case-2.sh FOLDER PROGRAM. The record is written to FOLDER/record.txt; files of the
# run stand in a temporary folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
program=target/review-2/$2
if [ ! -x "$program" ] || [ ! -x target/release/query-router ]; then
    echo "COULD NOT RUN: build with the deploy file and review/build-2.sh first"
    exit 2
fi
scratch=$(mktemp -d)
# The case ends all processes that it started, at the latest after 115 s.
"$program" "$folder/record.txt" "$scratch"
code=$?
rm -rf "$scratch"
case "$code" in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
