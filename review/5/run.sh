#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the kills.
cd "$(dirname "$0")" || exit 2
node case.mjs &
child=$!
trap 'kill -TERM "$child"' INT TERM
wait "$child"
code=$?
if [ "$code" -gt 128 ]; then
    wait "$child"
    code=$?
fi
case "$code" in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
