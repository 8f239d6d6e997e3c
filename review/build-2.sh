#!/usr/bin/env bash
# Builds the stand-ins of the cases from review/6 on; run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
home=$(bin/java-home)
rm -rf target/review-2
mkdir -p target/review-2
"$home/bin/javac" --release 21 -Xlint:all -d target/review-2 review/support-2/*.java \
    $(find review/6 review/7 review/8 review/9 review/10 -name '*.java' 2>/dev/null)
cp review/support-2/protocol.properties target/review-2/
