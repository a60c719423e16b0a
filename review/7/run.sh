#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname -- "$0")/../.." || exit 2
(. bin/env.sh) || exit 2
. bin/env.sh
record=review/7/record.txt
rm -f "$record"
if [ ! -e target/gateway.jar ] || [ ! -e target/review-2/Case7.class ]; then
	echo "run deploy/build and review/build-2.sh first" >&2
	exit 2
fi
"$JAVA_HOME/bin/java" -Xmx256m -cp target/review-2 Case7 . review/7 &
pid=$!
trap 'kill "$pid"; wait "$pid"; exit 2' INT TERM
wait "$pid"
code=$?
# A JVM that fails by itself also ends with 1.
case "$code" in
	0) grep -q 'RESULT: the rule held' "$record" || code=2 ;;
	1) grep -q 'RESULT: the rule was broken' "$record" || code=2 ;;
	*) code=2 ;;
esac
exit "$code"
