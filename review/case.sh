#!/bin/sh
# Runs the case whose number is given, with the classes that build.sh has compiled.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname -- "$0")/.." || exit 2
# In a subshell first, since env.sh exits with a code of its own if there is no JDK.
(. bin/env.sh) || exit 2
. bin/env.sh
if [ ! -f "review/target/classes/review/Case$1.class" ]; then
	echo "case $1 is not built; run review/build.sh" >&2
	exit 2
fi
"$JAVA_HOME/bin/java" -Xmx512m -cp review/target/classes "review.Case$1" "review/$1" &
child=$!
trap 'kill "$child" 2>/dev/null' HUP INT TERM
wait "$child"
code=$?
# A signal interrupts the wait; the case then ends the processes that it started.
while kill -0 "$child" 2>/dev/null; do
	wait "$child"
	code=$?
done
# The JVM itself exits with 1 if it fails, so a broken rule has another code there.
case $code in
	0) exit 0 ;;
	10) exit 1 ;;
	*) exit 2 ;;
esac
