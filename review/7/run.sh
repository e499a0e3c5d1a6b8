#!/usr/bin/env bash
# Plays the case on loopback. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not
# run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
. bin/jdk.sh || exit 2
[ -f target/platform/cactusspring.jar ] && [ -d target/review-2 ] || exit 2
exec "$JAVA_HOME/bin/java" -Dsun.net.httpserver.nodelay=true \
  -cp 'target/review-2:target/platform/lib/*' review2.LastingTaskAfterLosses review/7
