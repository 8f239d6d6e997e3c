#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
home=$(bin/java-home)
rm -rf target/review
mkdir -p target/review
"$home/bin/javac" -d target/review review/support/*.java $(find review/[1-5] -name '*.java')
cp review/support/*.properties review/support/*.json review/2/*.json target/review/
