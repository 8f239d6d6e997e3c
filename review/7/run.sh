#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
home=$(bin/java-home) || exit 2
exec timeout 115 "$home/bin/java" -cp target/review-2 SilentLinks review/7/record.txt
