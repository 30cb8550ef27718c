#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
if [ ! -f ../../target/main.mjs ] || [ ! -d ../../node_modules/smol-toml ]; then
    echo "not built: npm ci && node platform/build.mjs" >&2
    exit 2
fi
exec node case.mjs
