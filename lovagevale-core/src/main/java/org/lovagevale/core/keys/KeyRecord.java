package org.lovagevale.core.keys;

import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.core.Fingerprint;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.StoredAnswer;

/**
 * The state of one idempotency key: the request that used it, its outcome and its answer.
 *
 * <p>
 * Invariant: the outcome changes at most once, from {@link Outcome#RUNNING} to a final
 * value. Not thread-safe.
 */
final class KeyRecord {

	private final @Nullable Fingerprint fingerprint;

	private final @Nullable AccountName account;

	private Outcome outcome;

	private @Nullable StoredAnswer answer;

	private KeyRecord(@Nullable Fingerprint fingerprint, @Nullable AccountName account, Outcome outcome) {
		this.fingerprint = fingerprint;
		this.account = account;
		this.outcome = outcome;
	}

	static KeyRecord running(Fingerprint fingerprint, @Nullable AccountName account) {
		return new KeyRecord(fingerprint, account, Outcome.RUNNING);
	}

	static KeyRecord notRun() {
		return new KeyRecord(null, null, Outcome.NOT_RUN);
	}

	Outcome outcome() {
		return this.outcome;
	}

	@Nullable StoredAnswer answer() {
		return this.answer;
	}

	boolean isRunning() {
		return this.outcome == Outcome.RUNNING;
	}

	boolean isSameRequest(Fingerprint fingerprint, @Nullable AccountName account) {
		return this.fingerprint == null
				|| (this.fingerprint.equals(fingerprint) && Objects.equals(this.account, account));
	}

	void end(Outcome outcome, @Nullable StoredAnswer answer) {
		this.outcome = outcome;
		this.answer = answer;
	}

	int answerBytes() {
		return (this.answer != null) ? this.answer.body().length : 0;
	}

	void dropAnswer() {
		this.answer = null;
	}

}
