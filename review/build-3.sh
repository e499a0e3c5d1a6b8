#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 under target/review-3; runs after the build of the
# deploy file, whose libraries they use.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/jdk.sh
rm -rf target/review-3
mkdir -p target/review-3
"$JAVA_HOME/bin/javac" --release 21 -cp "target/platform/lib/*" -d target/review-3 \
  review/standins-3/*.java
cp review/standins-3/names.properties target/review-3/review/
