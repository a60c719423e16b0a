package org.lovagevale.core.keys;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.Clock;
import org.lovagevale.core.Fingerprint;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.Refusal;
import org.lovagevale.core.RefusalReason;
import org.lovagevale.core.StoredAnswer;
import org.lovagevale.core.message.KeyArchive;
import org.lovagevale.settings.model.KeySettings;

/**
 * The idempotency keys of one incarnation, in memory.
 *
 * <p>
 * Invariants: a key is accepted at most once; a key reported as {@link Outcome#NOT_RUN}
 * is never accepted afterwards; a remembered key is forgotten only with its whole epoch,
 * after that epoch has expired. Not thread-safe.
 */
public final class KeyTable implements IdempotencyKeyStore {

	/**
	 * Bytes of stored answers held at a time. The capacity of 20,000 keys with 16 KiB
	 * each would need more memory than a small VM has, so the oldest answers are dropped
	 * and their keys then answer with the outcome alone.
	 */
	static final long ANSWER_BYTES = 32L * 1024 * 1024;

	/**
	 * Bytes of keys in an archive, below the largest peer frame of 1,310,720 bytes.
	 */
	static final int ARCHIVE_BYTES = 1_000_000;

	private static final int ARCHIVE_OVERHEAD_BYTES = 5;

	private static final long RETRY_AFTER_FULL_MS = 1_000;

	private final ProcessIdentity self;

	private final KeyEpochs epochs;

	private final TreeMap<Long, Map<String, KeyRecord>> records = new TreeMap<>();

	private final Deque<KeyRecord> answers = new ArrayDeque<>();

	private KeySettings settings = KeySettings.defaults();

	private int size;

	private long answerBytes;

	/**
	 * Creates an empty table.
	 * @param self this process, the owner of the keys
	 * @param clock the clock that counts the epochs
	 */
	public KeyTable(ProcessIdentity self, Clock clock) {
		this.self = self;
		this.epochs = new KeyEpochs(clock);
	}

	@Override
	public void configure(KeySettings settings) {
		this.settings = settings;
		this.epochs.configure(settings);
	}

	@Override
	public long currentEpoch() {
		advance();
		return this.epochs.current();
	}

	@Override
	public KeyVerdict admit(IdempotencyKey key, Fingerprint fingerprint, @Nullable AccountName account) {
		if (!isOwn(key)) {
			return new KeyVerdict.OtherOwner();
		}
		advance();
		if (this.epochs.isExpired(key.epoch())) {
			return rejected(RefusalReason.KEY_EXPIRED, Outcome.UNKNOWN,
					"The idempotency key is too old to be remembered; look for the effect of the first request.");
		}
		KeyRecord known = find(key);
		if (known != null) {
			return repeated(known, fingerprint, account);
		}
		return admitUnseen(key, KeyRecord.running(fingerprint, account));
	}

	@Override
	public void recordNotRun(IdempotencyKey key) {
		end(key, Outcome.NOT_RUN, null);
	}

	@Override
	public void recordRan(IdempotencyKey key, @Nullable StoredAnswer answer) {
		boolean isHeld = answer != null && answer.body().length <= this.settings.replayBytes();
		end(key, Outcome.RAN, isHeld ? answer : null);
	}

	@Override
	public void recordUnknown(IdempotencyKey key) {
		end(key, Outcome.UNKNOWN, null);
	}

	@Override
	public Outcome resolveOutcome(IdempotencyKey key) {
		if (!isOwn(key)) {
			return Outcome.UNKNOWN;
		}
		advance();
		if (this.epochs.isExpired(key.epoch())) {
			return Outcome.UNKNOWN;
		}
		KeyRecord known = find(key);
		return (known != null) ? known.outcome() : outcomeOfUnseen(key);
	}

	@Override
	public KeyArchive closeAndArchive(List<String> regions) {
		advance();
		this.epochs.close();
		List<String> ran = new ArrayList<>();
		List<String> unknown = new ArrayList<>();
		long forgotten = fillArchive(ran, unknown);
		if (forgotten >= 0) {
			unknown.add(prefix(forgotten) + KeyArchive.THIS_AND_EARLIER_EPOCHS);
		}
		return new KeyArchive(this.self.vm().value(), this.self.incarnation().toString(), ran, unknown,
				this.epochs.validMs(), regions);
	}

	@Override
	public int size() {
		advance();
		return this.size;
	}

	private boolean isOwn(IdempotencyKey key) {
		return key.vm().equals(this.self.vm()) && key.incarnation().equals(this.self.incarnation());
	}

	private void advance() {
		this.epochs.advance();
		while (!this.records.isEmpty() && this.epochs.isExpired(this.records.firstKey())) {
			Map<String, KeyRecord> expired = this.records.pollFirstEntry().getValue();
			this.size -= expired.size();
			expired.values().forEach(this::releaseAnswer);
		}
		while (!this.answers.isEmpty() && this.answers.getFirst().answer() == null) {
			this.answers.removeFirst();
		}
	}

	private @Nullable KeyRecord find(IdempotencyKey key) {
		Map<String, KeyRecord> epoch = this.records.get(key.epoch());
		return (epoch != null) ? epoch.get(key.unique()) : null;
	}

	private KeyVerdict admitUnseen(IdempotencyKey key, KeyRecord record) {
		if (this.epochs.isClosed()) {
			return rejected(RefusalReason.STOPPING, Outcome.NOT_RUN,
					"This VM is stopping; ask for addresses and use a new idempotency key.");
		}
		if (this.epochs.isFuture(key.epoch())) {
			return rejected(RefusalReason.KEY_MALFORMED, Outcome.UNKNOWN,
					"The epoch of the idempotency key has not begun; use a prefix that was given out.");
		}
		if (isRefusedForSpace(key)) {
			return keysFull();
		}
		remember(key, record);
		return new KeyVerdict.Accepted();
	}

	private Outcome outcomeOfUnseen(IdempotencyKey key) {
		if (this.epochs.isClosed()) {
			return Outcome.NOT_RUN;
		}
		if (this.epochs.isFuture(key.epoch())) {
			return Outcome.UNKNOWN;
		}
		if (!isRefusedForSpace(key)) {
			remember(key, KeyRecord.unseen());
		}
		return Outcome.NOT_RUN;
	}

	// Makes a refusal final: an unseen key of a sealed epoch can never be accepted.
	private boolean isRefusedForSpace(IdempotencyKey key) {
		if (this.epochs.isSealed(key.epoch())) {
			return true;
		}
		if (this.size < this.settings.capacity()) {
			return false;
		}
		this.epochs.seal();
		return true;
	}

	private void remember(IdempotencyKey key, KeyRecord record) {
		this.records.computeIfAbsent(key.epoch(), (epoch) -> new HashMap<>()).put(key.unique(), record);
		this.size++;
	}

	private KeyVerdict repeated(KeyRecord known, Fingerprint fingerprint, @Nullable AccountName account) {
		if (!known.isSameRequest(fingerprint, account)) {
			return rejected(RefusalReason.KEY_REUSED, Outcome.NOT_RUN,
					"The idempotency key was used for a different request; use a new key.");
		}
		if (known.isRunning()) {
			return rejected(RefusalReason.KEY_RUNNING, Outcome.RUNNING,
					"The request is running; ask for its outcome later.");
		}
		StoredAnswer answer = known.answer();
		if (answer != null) {
			return new KeyVerdict.Answered(answer);
		}
		return rejected(RefusalReason.KEY_ENDED, known.outcome(),
				"The request with this idempotency key ended; use a new key for a new request.");
	}

	private void end(IdempotencyKey key, Outcome outcome, @Nullable StoredAnswer answer) {
		if (!isOwn(key)) {
			return;
		}
		advance();
		KeyRecord known = find(key);
		if (known == null || !known.isRunning()) {
			return;
		}
		known.end(outcome, answer);
		if (answer != null) {
			holdAnswer(known);
		}
	}

	private void holdAnswer(KeyRecord record) {
		this.answers.addLast(record);
		this.answerBytes += record.answerBytes();
		while (this.answerBytes > ANSWER_BYTES) {
			releaseAnswer(this.answers.removeFirst());
		}
	}

	private void releaseAnswer(KeyRecord record) {
		this.answerBytes -= record.answerBytes();
		record.dropAnswer();
	}

	// Goes from the newest epoch to the oldest while there is room, and returns the last
	// epoch whose keys are not in the archive, -1 if there is none.
	private long fillArchive(List<String> ran, List<String> unknown) {
		int bytes = 0;
		for (Map.Entry<Long, Map<String, KeyRecord>> epoch : this.records.descendingMap().entrySet()) {
			bytes += archiveBytes(epoch.getKey(), epoch.getValue());
			if (bytes > ARCHIVE_BYTES) {
				return epoch.getKey();
			}
			addToArchive(epoch.getKey(), epoch.getValue(), ran, unknown);
		}
		return this.epochs.expiredThrough();
	}

	private int archiveBytes(long epoch, Map<String, KeyRecord> keys) {
		int perKey = prefix(epoch).length() + ARCHIVE_OVERHEAD_BYTES;
		return keys.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().outcome() != Outcome.NOT_RUN)
			.mapToInt((entry) -> perKey + entry.getKey().length())
			.sum();
	}

	private void addToArchive(long epoch, Map<String, KeyRecord> keys, List<String> ran, List<String> unknown) {
		Consumer<String> toRan = (unique) -> ran.add(prefix(epoch) + unique);
		Consumer<String> toUnknown = (unique) -> unknown.add(prefix(epoch) + unique);
		for (Map.Entry<String, KeyRecord> entry : new TreeMap<>(keys).entrySet()) {
			switch (entry.getValue().outcome()) {
				case RAN -> toRan.accept(entry.getKey());
				case UNKNOWN, RUNNING -> toUnknown.accept(entry.getKey());
				case NOT_RUN -> {
				}
			}
		}
	}

	private String prefix(long epoch) {
		return IdempotencyKey.prefix(this.self.vm(), this.self.incarnation(), epoch);
	}

	private KeyVerdict keysFull() {
		return new KeyVerdict.Rejected(new Refusal(RefusalReason.KEYS_FULL, Outcome.NOT_RUN, RETRY_AFTER_FULL_MS,
				"No further key can be remembered; ask for addresses and use a key with a new prefix."));
	}

	private static KeyVerdict rejected(RefusalReason reason, Outcome outcome, String message) {
		return new KeyVerdict.Rejected(new Refusal(reason, outcome, 0, message));
	}

}
