package org.lovagevale.core.catalog;

/**
 * What may be repeated of the requests of a route.
 *
 * <p>
 * Immutable and thread-safe.
 */
public enum RequestKind {

	/** May run more than once. */
	IDEMPOTENT(true),

	/** May run at most once. */
	NON_IDEMPOTENT(false),

	/** May run more than once and has a large response. */
	DOWNLOAD(true);

	private final boolean repeatable;

	RequestKind(boolean repeatable) {
		this.repeatable = repeatable;
	}

	/**
	 * Tells whether a request of this kind may run more than once.
	 * @return {@code true} if it may
	 */
	public boolean isRepeatable() {
		return this.repeatable;
	}

}
