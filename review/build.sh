#!/bin/sh
# Compiles the stand-ins and the cases of the review into review/target.
set -eu
cd "$(dirname -- "$0")/.."
. bin/env.sh
rm -rf review/target
mkdir -p review/target/classes
find review -name '*.java' > review/target/sources.txt
"$JAVA_HOME/bin/javac" -d review/target/classes @review/target/sources.txt
