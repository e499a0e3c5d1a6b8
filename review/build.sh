#!/usr/bin/env bash
# Builds the stand-ins of the scripts. Needs what the build of deploy/system.toml has built.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/jdk.sh
rm -rf target/review
mkdir -p target/review/classes
"$JAVA_HOME/bin/javac" -d target/review/classes -cp "target/platform/lib/*" review/standins/review/*.java
cp review/standins/review/wire.properties target/review/classes/review/
