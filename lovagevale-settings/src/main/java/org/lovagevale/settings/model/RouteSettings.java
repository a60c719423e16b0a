package org.lovagevale.settings.model;

/**
 * A route of a service, which matches requests by method and path prefix.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the name shown to operators, for example "POST /transfers"
 * @param method the HTTP method, or "*" for any
 * @param pathPrefix the path prefix, starting with a slash
 * @param idempotent whether a request may run more than once
 * @param policy the effective policy
 */
public record RouteSettings(String name, String method, String pathPrefix, boolean idempotent, Policy policy) {

	/**
	 * Returns whether this route matches a request.
	 * @param method the HTTP method
	 * @param path the path without query
	 * @return {@code true} if method and path match
	 */
	public boolean matches(String method, String path) {
		boolean methodMatches = this.method.equals("*") || this.method.equals(method);
		return methodMatches && matchesPath(path);
	}

	private boolean matchesPath(String path) {
		if (!path.startsWith(this.pathPrefix)) {
			return false;
		}
		return path.length() == this.pathPrefix.length() || this.pathPrefix.endsWith("/")
				|| path.charAt(this.pathPrefix.length()) == '/';
	}

}
