package org.lovagevale.gateway.http;

/**
 * A reason for which a request is denied because of its client account.
 *
 * <p>
 * Immutable and thread-safe.
 */
enum DenialCause {

	/** The request has no credential, or more than one. */
	NO_CREDENTIAL(401, "request without a credential"),

	/** No account holds the credential. */
	UNKNOWN_CREDENTIAL(401, "unknown credential"),

	/** No account is known to hold the credential, but it may be a new one. */
	STALE_CATALOG(503, "unknown credential, and the catalog may be outdated"),

	/** The credential may have been revoked. */
	UNCONFIRMED_CATALOG(503, "the credential cannot be confirmed"),

	/** Route and account allow no common region. */
	NO_COMMON_REGION(503, "no region allowed by both route and account"),

	/** The account has exceeded its rate limit. */
	RATE_LIMIT(429, "rate limit of the account exceeded");

	private final int status;

	private final String reason;

	DenialCause(int status, String reason) {
		this.status = status;
		this.reason = reason;
	}

	int status() {
		return this.status;
	}

	String reason() {
		return this.reason;
	}

}
