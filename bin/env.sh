# Sourced by the other scripts: finds a JDK 21 or newer and sets JAVA_HOME and LOVAGEVALE_ROOT.
LOVAGEVALE_ROOT=$(CDPATH='' cd -- "$(dirname -- "$0")/.." && pwd)

java_major() {
	"$1/bin/java" -version 2>&1 | sed -n 's/.*version "\([0-9]*\).*/\1/p' | head -n 1
}

is_usable_jdk() {
	[ -x "$1/bin/javac" ] || return 1
	major=$(java_major "$1")
	[ -n "$major" ] && [ "$major" -ge 21 ]
}

find_jdk() {
	if [ -n "${JAVA_HOME:-}" ] && is_usable_jdk "$JAVA_HOME"; then
		return 0
	fi
	for home in /usr/lib/jvm/* /opt/jdk* /Library/Java/JavaVirtualMachines/*/Contents/Home; do
		if is_usable_jdk "$home"; then
			JAVA_HOME=$home
			return 0
		fi
	done
	echo "lovagevale: no JDK 21 or newer found; install one and set JAVA_HOME to its folder" >&2
	return 1
}

find_jdk || exit 3
export JAVA_HOME LOVAGEVALE_ROOT

if ! command -v mvn >/dev/null 2>&1; then
	MVN_MISSING=yes
fi

# Runs Maven on the whole workspace; arguments are passed on.
run_maven() {
	if [ -n "${MVN_MISSING:-}" ]; then
		echo "lovagevale: Apache Maven (mvn) is not on the PATH; install Maven 3.8 or newer" >&2
		exit 3
	fi
	mvn -B -ntp -f "$LOVAGEVALE_ROOT/pom.xml" "$@"
}
