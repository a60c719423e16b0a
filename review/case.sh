#!/bin/sh
# Runs the case whose number is given, with the classes that build.sh has compiled.
set -eu
cd "$(dirname -- "$0")/.."
. bin/env.sh || exit 2
if [ ! -f "review/target/classes/review/Case$1.class" ]; then
	echo "case $1 is not built; run review/build.sh" >&2
	exit 2
fi
exec "$JAVA_HOME/bin/java" -Xmx512m -cp review/target/classes "review.Case$1" "review/$1"
