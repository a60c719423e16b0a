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

	/** Printable ASCII characters of a path, without the start of a query or fragment. */
	private static final Pattern FORM = Pattern.compile("(\\*|[A-Z]{1,20}) (/[!-~&&[^?#\\\\\"]]{0,199})");

	/** Methods that are safe to repeat by definition; "*" includes others. */
	private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

	static Optional<RouteName> parse(String name) {
		Matcher matcher = FORM.matcher(name);
		return matcher.matches() ? Optional.of(new RouteName(matcher.group(1), matcher.group(2))) : Optional.empty();
	}

	boolean isIdempotentByDefault() {
		return SAFE_METHODS.contains(this.method);
	}

	/** Tells whether the prefix belongs to the entry process itself. */
	boolean isReserved() {
		return this.pathPrefix.equals("/.lovagevale") || this.pathPrefix.startsWith("/.lovagevale/");
	}

}
