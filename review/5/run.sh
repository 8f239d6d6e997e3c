#!/usr/bin/env bash
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/router.jar ] && [ -f target/review/HangingPaths.class ] || {
    echo "Run bin/build-router and review/build.sh first." >&2
    exit 2
}
home=$(bin/java-home) || exit 2
exec "$home/bin/java" -cp target/review HangingPaths
