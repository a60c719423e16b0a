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
 * Stores the idempotency keys of one incarnation and the outcomes of their requests.
 *
 * <p>
 * Invariant: a key is accepted at most once, and a key reported as
 * {@link Outcome#NOT_RUN} is never accepted afterwards. Not thread-safe.
 */
public interface IdempotencyKeyStore {

	/**
	 * Applies new settings. Keys that are already stored are kept.
	 * @param settings the new settings
	 */
	void configure(KeySettings settings);

	/**
	 * Returns the key epoch for newly issued key prefixes.
	 * @return the key epoch, counted from 0
	 */
	long currentEpoch();

	/**
	 * Decides whether a request with an idempotency key may run, and records an accepted
	 * key as running.
	 * @param key the key
	 * @param fingerprint the fingerprint of the request
	 * @param account the client account, or {@code null} if none was given
	 * @return the verdict
	 */
	KeyVerdict admit(IdempotencyKey key, Fingerprint fingerprint, @Nullable AccountName account);

	/**
	 * Records that an accepted request did not run, because it was refused before it was
	 * sent to a backend server or is proven not to have run. This outcome is final.
	 * @param key the key
	 */
	void recordNotRun(IdempotencyKey key);

	/**
	 * Records that an accepted request was answered by a backend server. This outcome is
	 * final.
	 * @param key the key
	 * @param answer the answer to replay, or {@code null} if it is not stored
	 */
	void recordRan(IdempotencyKey key, @Nullable StoredAnswer answer);

	/**
	 * Records that it is unknown whether an accepted request ran. This outcome is final.
	 * @param key the key
	 */
	void recordUnknown(IdempotencyKey key);

	/**
	 * Returns the outcome of a key. An unseen key of this incarnation is marked as not
	 * run, so that it can never be accepted afterwards.
	 * @param key the key
	 * @return the outcome, {@link Outcome#UNKNOWN} for a key of another process, of an
	 * expired epoch or of an epoch that has not started
	 */
	Outcome resolveOutcome(IdempotencyKey key);

	/**
	 * Stops accepting unseen keys permanently and returns an archive of the outcomes,
	 * which other processes use to answer for this one after it has stopped.
	 * @param regions the regions that may store the archive, empty for all
	 * @return the archive of the outcomes
	 */
	KeyArchive closeAndArchive(List<String> regions);

	/**
	 * Returns the number of stored keys.
	 * @return the number of keys
	 */
	int size();

}
