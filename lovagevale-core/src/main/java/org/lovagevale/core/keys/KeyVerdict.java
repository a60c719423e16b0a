package org.lovagevale.core.keys;

import org.lovagevale.core.Refusal;
import org.lovagevale.core.StoredAnswer;

/**
 * What a process does with a request that carries an idempotency key.
 */
public sealed interface KeyVerdict
		permits KeyVerdict.Accepted, KeyVerdict.Rejected, KeyVerdict.Answered, KeyVerdict.OtherOwner {

	/**
	 * The key is new and now recorded as running.
	 */
	record Accepted() implements KeyVerdict {

	}

	/**
	 * The request is refused.
	 *
	 * @param refusal the answer
	 */
	record Rejected(Refusal refusal) implements KeyVerdict {

	}

	/**
	 * The request ran before and its answer is still held.
	 *
	 * @param answer the answer
	 */
	record Answered(StoredAnswer answer) implements KeyVerdict {

	}

	/**
	 * The key belongs to another VM or incarnation, which has to be asked.
	 */
	record OtherOwner() implements KeyVerdict {

	}

}
