package org.lovagevale.core.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.core.Fingerprint;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.Refusal;
import org.lovagevale.core.RefusalReason;
import org.lovagevale.core.StoredAnswer;
import org.lovagevale.core.keys.IdempotencyKey;
import org.lovagevale.core.keys.IdempotencyKeyStore;
import org.lovagevale.core.keys.KeyVerdict;
import org.lovagevale.core.message.KeyArchive;
import org.lovagevale.settings.model.KeySettings;

/**
 * A key store of unlimited size, whose keys never expire. Fails the test if an outcome is
 * recorded for a key that is not running, for example a second outcome.
 */
final class FakeKeyStore implements IdempotencyKeyStore {

	final Map<IdempotencyKey, Outcome> outcomes = new HashMap<>();

	private final Map<IdempotencyKey, StoredAnswer> answers = new HashMap<>();

	private final ProcessIdentity self;

	private final Consumer<String> log;

	FakeKeyStore(ProcessIdentity self, Consumer<String> log) {
		this.self = self;
		this.log = log;
	}

	@Override
	public void configure(KeySettings settings) {
	}

	@Override
	public long currentEpoch() {
		return 0;
	}

	@Override
	public KeyVerdict admit(IdempotencyKey key, Fingerprint fingerprint, @Nullable AccountName account) {
		if (!key.incarnation().equals(this.self.incarnation())) {
			return new KeyVerdict.OtherOwner();
		}
		Outcome known = this.outcomes.putIfAbsent(key, Outcome.RUNNING);
		if (known == null) {
			return new KeyVerdict.Accepted();
		}
		StoredAnswer answer = this.answers.get(key);
		if (answer != null) {
			return new KeyVerdict.Answered(answer);
		}
		RefusalReason reason = (known == Outcome.RUNNING) ? RefusalReason.KEY_RUNNING : RefusalReason.KEY_ENDED;
		return new KeyVerdict.Rejected(new Refusal(reason, known, 0, "known"));
	}

	@Override
	public void recordNotRun(IdempotencyKey key) {
		recordOutcome(key, Outcome.NOT_RUN);
	}

	@Override
	public void recordRan(IdempotencyKey key, @Nullable StoredAnswer answer) {
		recordOutcome(key, Outcome.RAN);
		if (answer != null) {
			this.answers.put(key, answer);
		}
	}

	@Override
	public void recordUnknown(IdempotencyKey key) {
		recordOutcome(key, Outcome.UNKNOWN);
	}

	private void recordOutcome(IdempotencyKey key, Outcome outcome) {
		this.log.accept("key " + key.unique() + " " + outcome);
		Outcome previous = this.outcomes.put(key, outcome);
		if (previous != Outcome.RUNNING) {
			throw new AssertionError(
					"outcome recorded for key " + key + " whose outcome was " + previous + " and not RUNNING");
		}
	}

	@Override
	public Outcome resolveOutcome(IdempotencyKey key) {
		this.outcomes.putIfAbsent(key, Outcome.NOT_RUN);
		return this.outcomes.get(key);
	}

	@Override
	public KeyArchive closeAndArchive(List<String> regions) {
		throw new UnsupportedOperationException("not used by the request package");
	}

	@Override
	public int size() {
		return this.outcomes.size();
	}

}
