#!/bin/sh
# Runs one case: run-case.sh NUMBER NAME. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/.." || exit 2
CASE_FOLDER="review/$1"
CASE_TMP=$(mktemp -d) || exit 2
# The command `run` of the deploy file.
RUN=$(sed -n 's/^run = "\([^"]*\)".*$/\1/p' deploy/balancer.toml)
export CASE_FOLDER CASE_TMP RUN
end() {
    # The router ends with the stand-ins; this is for the case that they were ended themselves.
    if [ -n "$STANDINS" ]; then kill "$STANDINS" 2>/dev/null; fi
    if [ -f "$CASE_TMP/router.pid" ]; then kill -9 "$(cat "$CASE_TMP/router.pid")" 2>/dev/null; fi
    rm -rf "$CASE_TMP"
}
trap end EXIT
trap 'exit 2' INT TERM
[ -x target/review/standins ] || { echo "run review/build.sh first"; exit 2; }
timeout 110 target/review/standins "$2" &
STANDINS=$!
wait "$STANDINS"
result=$?
STANDINS=
case $result in
0 | 1) exit $result ;;
*) exit 2 ;;
esac
