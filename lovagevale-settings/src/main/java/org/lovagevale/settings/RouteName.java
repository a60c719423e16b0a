package org.lovagevale.settings;

import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The name of a route: an HTTP method or "*", a space, and a path prefix.
 *
 * @param method the method, or "*" for any
 * @param pathPrefix the prefix, starting with a slash
 */
record RouteName(String method, String pathPrefix) {

	/**
	 * The path prefix is printable ASCII without quotation marks, backslashes and the
	 * delimiters of query and fragment.
	 */
	private static final Pattern PATTERN = Pattern.compile("(\\*|[A-Z]{1,20}) (/[!-~&&[^?#\\\\\"]]{0,199})");

	/**
	 * The safe HTTP methods, which are idempotent; "*" is not included, because it also
	 * matches other methods.
	 */
	private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

	static Optional<RouteName> parse(String name) {
		Matcher matcher = PATTERN.matcher(name);
		return matcher.matches() ? Optional.of(new RouteName(matcher.group(1), matcher.group(2))) : Optional.empty();
	}

	boolean isIdempotentByDefault() {
		return SAFE_METHODS.contains(this.method);
	}

	/**
	 * Returns whether the entry process itself answers requests to the prefix.
	 * @return {@code true} if no route may have the prefix
	 */
	boolean isReserved() {
		return this.pathPrefix.equals("/.lovagevale") || this.pathPrefix.startsWith("/.lovagevale/");
	}

}
