#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/jdk.sh
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -cp 'target/platform/lib/*' -d target/review-2 review/standins-2/review2/*.java
cp review/standins-2/review2/names.properties target/review-2/review2/
