package org.lovagevale.core.keys;

import java.util.List;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.core.Fingerprint;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.StoredAnswer;
import org.lovagevale.core.message.KeyArchive;
import org.lovagevale.settings.model.KeySettings;

/**
 * The memory of idempotency keys of one incarnation.
 *
 * <p>
 * Invariant: a key is accepted at most once, and a key reported as
 * {@link Outcome#NOT_RUN} is never accepted afterwards. Not thread-safe.
 */
public interface IdempotencyKeyStore {

	/**
	 * Uses other settings from now on; keys already remembered stay.
	 * @param settings the settings
	 */
	void configure(KeySettings settings);

	/**
	 * Returns the epoch that callers get in key prefixes.
	 * @return the epoch, counted from 0
	 */
	long currentEpoch();

	/**
	 * Decides on a request with a key.
	 * @param key the key
	 * @param fingerprint the fingerprint of the request
	 * @param account the client account, or {@code null}
	 * @return the verdict
	 */
	KeyVerdict admit(IdempotencyKey key, Fingerprint fingerprint, @Nullable AccountName account);

	/**
	 * Records that an accepted request was refused before it was sent to a server, or
	 * provably did not run. Final.
	 * @param key the key
	 */
	void recordNotRun(IdempotencyKey key);

	/**
	 * Records that an accepted request was answered by a backend server. Final.
	 * @param key the key
	 * @param answer the answer to replay, or {@code null} if it is not held
	 */
	void recordRan(IdempotencyKey key, @Nullable StoredAnswer answer);

	/**
	 * Records that it is not known whether an accepted request ran. Final.
	 * @param key the key
	 */
	void recordUnknown(IdempotencyKey key);

	/**
	 * Returns the outcome of a key, on behalf of a caller that asked elsewhere. An unseen
	 * key of this incarnation becomes final as not run.
	 * @param key the key
	 * @return the outcome
	 */
	Outcome resolveOutcome(IdempotencyKey key);

	/**
	 * Accepts no further keys, ever, and returns what has to be known of the others.
	 * @param regions the regions that may keep the archive, empty for all
	 * @return the archive
	 */
	KeyArchive closeAndArchive(List<String> regions);

	/**
	 * Returns how many keys are remembered.
	 * @return the number of keys
	 */
	int size();

}
