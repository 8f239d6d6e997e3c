#!/usr/bin/env bash
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
home=$(bin/java-home) || exit 2
timeout 115 "$home/bin/java" -cp target/review-2 TenantBecomesIsolated review/8/record.txt
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
