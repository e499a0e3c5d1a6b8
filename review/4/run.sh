#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption; the stand-ins read the variable.
cd "$(dirname "$0")/../.." || exit 2
. bin/jdk.sh || exit 2
if [ ! -f target/review/classes/review/LastingTasks.class ] || [ ! -f target/platform/cactusspring.jar ]; then
  echo "build first: the build of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
export TROUBLE="${TROUBLE:-1}"
timeout 115 "$JAVA_HOME/bin/java" -Xmx512m -Djdk.httpclient.allowRestrictedHeaders=host \
  -cp "target/review/classes:target/platform/lib/*" review.LastingTasks review/4/record.txt ${KEEP_LOGS:+"$KEEP_LOGS"}
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
