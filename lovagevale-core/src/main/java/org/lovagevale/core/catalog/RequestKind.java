package org.lovagevale.core.catalog;

/**
 * Tells whether the requests of a route may be executed more than once.
 *
 * <p>
 * Immutable and thread-safe.
 */
public enum RequestKind {

	/** Requests may be executed more than once. */
	IDEMPOTENT(true),

	/** Requests may be executed at most once. */
	NON_IDEMPOTENT(false),

	/** Requests may be executed more than once and have large responses. */
	DOWNLOAD(true);

	private final boolean repeatable;

	RequestKind(boolean repeatable) {
		this.repeatable = repeatable;
	}

	/**
	 * Tells whether a request of this kind may be executed more than once.
	 * @return {@code true} if it may be repeated
	 */
	public boolean isRepeatable() {
		return this.repeatable;
	}

}
