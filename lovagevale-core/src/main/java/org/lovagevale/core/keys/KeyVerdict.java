package org.lovagevale.core.keys;

import org.lovagevale.core.Refusal;
import org.lovagevale.core.StoredAnswer;

/**
 * The result of checking a request that carries an idempotency key.
 */
public sealed interface KeyVerdict
		permits KeyVerdict.Accepted, KeyVerdict.Rejected, KeyVerdict.Answered, KeyVerdict.OtherOwner {

	/**
	 * The key was not used before and is now recorded as running; the request may run.
	 */
	record Accepted() implements KeyVerdict {

	}

	/**
	 * The request is refused.
	 *
	 * @param refusal the refusal to send to the caller
	 */
	record Rejected(Refusal refusal) implements KeyVerdict {

	}

	/**
	 * The request already ran and its answer is still stored.
	 *
	 * @param answer the stored answer to replay
	 */
	record Answered(StoredAnswer answer) implements KeyVerdict {

	}

	/**
	 * The key belongs to another VM or incarnation, which must be queried for its
	 * outcome.
	 */
	record OtherOwner() implements KeyVerdict {

	}

}
