# Sourced after env.sh: finds the jar of a program and builds the workspace if it is missing.
jar_of() {
	find_jar "$1" && return 0
	echo "lovagevale: building, as $1 has no jar yet" >&2
	run_maven -q package -DskipTests >&2
	find_jar "$1"
}

find_jar() {
	for jar in "$LOVAGEVALE_ROOT/$1/target/$1"-*-all.jar; do
		[ -f "$jar" ] && echo "$jar" && return 0
	done
	return 1
}
