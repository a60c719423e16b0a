#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname -- "$0")/../.." || exit 2
. bin/env.sh || exit 2
exec "$JAVA_HOME/bin/java" -Xmx256m -cp target/review-2 Case10 . review/10
