package org.lovagevale.core.request;

import org.lovagevale.core.Outcome;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.keys.IdempotencyKey;
import org.lovagevale.core.keys.IdempotencyKeyStore;

/**
 * Reads idempotency keys and answers for those that were not admitted.
 *
 * <p>
 * Not thread-safe.
 */
final class KeyGate {

	private final ProcessIdentity self;

	private final IdempotencyKeyStore keys;

	KeyGate(ProcessIdentity self, IdempotencyKeyStore keys) {
		this.self = self;
		this.keys = keys;
	}

	/**
	 * Tells whether this process is the only one that may run requests with a key.
	 * @param key the key
	 * @return {@code true} if it is
	 */
	boolean isOwn(IdempotencyKey key) {
		return key.vm().equals(this.self.vm()) && key.incarnation().equals(this.self.incarnation());
	}

	/**
	 * Returns what is known of a key whose request is refused before it was admitted.
	 *
	 * <p>
	 * An earlier request with the key may have run. An unseen own key becomes final as
	 * not run.
	 * @param key the key
	 * @return the outcome, {@link Outcome#UNKNOWN} for a key of another process
	 */
	Outcome outcomeBeforeAdmission(IdempotencyKey key) {
		return (isOwn(key)) ? this.keys.resolveOutcome(key) : Outcome.UNKNOWN;
	}

}
