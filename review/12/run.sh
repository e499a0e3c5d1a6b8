#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption; the stand-ins read the variable.
set -u
export TROUBLE="${TROUBLE:-1}"
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
. bin/jdk.sh || exit 2
exec "$JAVA_HOME/bin/java" -cp "target/review-3:target/platform/lib/*" review.CaseForgotten "$here"
