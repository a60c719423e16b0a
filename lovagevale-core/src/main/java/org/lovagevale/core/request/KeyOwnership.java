package org.lovagevale.core.request;

import org.lovagevale.core.Outcome;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.keys.IdempotencyKey;
import org.lovagevale.core.keys.IdempotencyKeyStore;

/**
 * Determines the owner of idempotency keys, and the outcome of keys whose request is
 * refused before admission.
 *
 * <p>
 * Not thread-safe.
 */
final class KeyOwnership {

	private final ProcessIdentity self;

	private final IdempotencyKeyStore keys;

	KeyOwnership(ProcessIdentity self, IdempotencyKeyStore keys) {
		this.self = self;
		this.keys = keys;
	}

	/**
	 * Returns whether this process is the only one that may run requests with a key.
	 * @param key the key
	 * @return {@code true} if this process owns the key
	 */
	boolean isOwnKey(IdempotencyKey key) {
		return key.vm().equals(this.self.vm()) && key.incarnation().equals(this.self.incarnation());
	}

	/**
	 * Returns the known outcome of a key whose request is refused before admission.
	 *
	 * <p>
	 * An earlier request with the same key may have run. If this process owns the key and
	 * has not seen it before, the key is recorded as not run, which is final.
	 * @param key the key
	 * @return the outcome, {@link Outcome#UNKNOWN} for a key of another process
	 */
	Outcome outcomeBeforeAdmission(IdempotencyKey key) {
		return (isOwnKey(key)) ? this.keys.resolveOutcome(key) : Outcome.UNKNOWN;
	}

}
