#!/bin/sh
# Runs the case whose number is given, with the classes that build.sh has compiled.
set -eu
cd "$(dirname -- "$0")/.."
. bin/env.sh || exit 2
if [ ! -d review/target/classes ]; then
	echo "review/target/classes is missing; run review/build.sh" >&2
	exit 2
fi
exec "$JAVA_HOME/bin/java" -Xmx512m -cp review/target/classes "review.Case$1" "review/$1"
