#!/bin/sh
# The stand-ins are plain scripts that need no build: checks that they and the program of the deploy file are there.
set -e
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs [456]/*.mjs; do
    node --check "$file"
done
test -f ../target/main.mjs
