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
 * Keeps the idempotency keys of one incarnation in memory.
 *
 * <p>
 * Invariants: a key is accepted at most once; a key reported as {@link Outcome#NOT_RUN}
 * is never accepted afterwards; keys are removed only by whole epochs, after the epoch
 * has expired. Not thread-safe.
 */
public final class KeyTable implements IdempotencyKeyStore {

	/**
	 * The largest total size of the bodies of stored answers in bytes. Answers of 16 KiB
	 * for each of 20,000 keys would need more memory than a small VM has, so the oldest
	 * answers are dropped. A repeated request with such a key gets only the outcome.
	 */
	static final long MAX_STORED_ANSWER_BYTES = 32L * 1024 * 1024;

	/**
	 * The largest total size of the keys in an archive in bytes. It is below the largest
	 * peer frame of 1,310,720 bytes, so that the archive fits into one frame.
	 */
	static final int MAX_ARCHIVED_KEY_BYTES = 1_000_000;

	/** A MessagePack string header, which precedes each key, has at most 5 bytes. */
	private static final int ARCHIVED_KEY_OVERHEAD_BYTES = 5;

	private static final long KEYS_FULL_RETRY_AFTER_MS = 1_000;

	private final ProcessIdentity self;

	private final KeyEpochs epochs;

	private final TreeMap<Long, Map<String, KeyRecord>> recordsByEpoch = new TreeMap<>();

	private final Deque<KeyRecord> recordsWithAnswer = new ArrayDeque<>();

	private KeySettings settings = KeySettings.defaults();

	private int size;

	private long storedAnswerBytes;

	/**
	 * Creates an empty table.
	 * @param self this process, the owner of the keys
	 * @param clock the clock that determines the key epochs
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
					"The idempotency key has expired; check whether the first request took effect.");
		}
		KeyRecord known = find(key);
		if (known != null) {
			return verdictOnRepeat(known, fingerprint, account);
		}
		return admitUnseen(key, KeyRecord.running(fingerprint, account));
	}

	@Override
	public void recordNotRun(IdempotencyKey key) {
		end(key, Outcome.NOT_RUN, null);
	}

	@Override
	public void recordRan(IdempotencyKey key, @Nullable StoredAnswer answer) {
		boolean isStored = answer != null && answer.body().length <= this.settings.replayBytes();
		end(key, Outcome.RAN, isStored ? answer : null);
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
		long lastOmittedEpoch = fillArchive(ran, unknown);
		if (lastOmittedEpoch >= 0) {
			unknown.add(prefix(lastOmittedEpoch) + KeyArchive.THIS_AND_EARLIER_EPOCHS);
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
		while (!this.recordsByEpoch.isEmpty() && this.epochs.isExpired(this.recordsByEpoch.firstKey())) {
			Map<String, KeyRecord> expired = this.recordsByEpoch.pollFirstEntry().getValue();
			this.size -= expired.size();
			expired.values().forEach(this::releaseAnswer);
		}
		while (!this.recordsWithAnswer.isEmpty() && this.recordsWithAnswer.getFirst().answer() == null) {
			this.recordsWithAnswer.removeFirst();
		}
	}

	private @Nullable KeyRecord find(IdempotencyKey key) {
		Map<String, KeyRecord> epoch = this.recordsByEpoch.get(key.epoch());
		return (epoch != null) ? epoch.get(key.unique()) : null;
	}

	private KeyVerdict admitUnseen(IdempotencyKey key, KeyRecord record) {
		if (this.epochs.isClosed()) {
			return rejected(RefusalReason.STOPPING, Outcome.NOT_RUN,
					"This VM is stopping; request addresses again and use a new idempotency key.");
		}
		if (this.epochs.isFuture(key.epoch())) {
			return rejected(RefusalReason.KEY_MALFORMED, Outcome.UNKNOWN,
					"The epoch of the idempotency key has not started; use a key prefix issued by this VM.");
		}
		if (mustRefuseUnseen(key)) {
			return rejectedForCapacity();
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
		if (!mustRefuseUnseen(key)) {
			remember(key, KeyRecord.notRun());
		}
		return Outcome.NOT_RUN;
	}

	// Tells whether an unseen key must be refused, because its epoch is sealed or the
	// table is full. A full table seals the current epoch, which makes the refusal
	// final: an unseen key of a sealed epoch is never accepted.
	private boolean mustRefuseUnseen(IdempotencyKey key) {
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
		this.recordsByEpoch.computeIfAbsent(key.epoch(), (epoch) -> new HashMap<>()).put(key.unique(), record);
		this.size++;
	}

	private KeyVerdict verdictOnRepeat(KeyRecord known, Fingerprint fingerprint, @Nullable AccountName account) {
		if (!known.isSameRequest(fingerprint, account)) {
			return rejected(RefusalReason.KEY_REUSED, Outcome.NOT_RUN,
					"The idempotency key was used for a different request; use a new key.");
		}
		if (known.isRunning()) {
			return rejected(RefusalReason.KEY_RUNNING, Outcome.RUNNING,
					"The request is running; query its outcome later.");
		}
		StoredAnswer answer = known.answer();
		if (answer != null) {
			return new KeyVerdict.Answered(answer);
		}
		return rejected(RefusalReason.KEY_ENDED, known.outcome(),
				"The request with this idempotency key has ended; use a new key for a new request.");
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
			storeAnswer(known);
		}
	}

	private void storeAnswer(KeyRecord record) {
		this.recordsWithAnswer.addLast(record);
		this.storedAnswerBytes += record.answerBytes();
		while (this.storedAnswerBytes > MAX_STORED_ANSWER_BYTES) {
			releaseAnswer(this.recordsWithAnswer.removeFirst());
		}
	}

	private void releaseAnswer(KeyRecord record) {
		this.storedAnswerBytes -= record.answerBytes();
		record.dropAnswer();
	}

	// Adds the keys of whole epochs, from the newest to the oldest, up to the size limit.
	// Returns the last epoch whose keys are not in the archive, -1 if there is none.
	private long fillArchive(List<String> ran, List<String> unknown) {
		int bytes = 0;
		for (Map.Entry<Long, Map<String, KeyRecord>> epoch : this.recordsByEpoch.descendingMap().entrySet()) {
			bytes += archiveBytes(epoch.getKey(), epoch.getValue());
			if (bytes > MAX_ARCHIVED_KEY_BYTES) {
				return epoch.getKey();
			}
			addToArchive(epoch.getKey(), epoch.getValue(), ran, unknown);
		}
		return this.epochs.expiredThrough();
	}

	private int archiveBytes(long epoch, Map<String, KeyRecord> keys) {
		int prefixBytes = prefix(epoch).length() + ARCHIVED_KEY_OVERHEAD_BYTES;
		return keys.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().outcome() != Outcome.NOT_RUN)
			.mapToInt((entry) -> prefixBytes + entry.getKey().length())
			.sum();
	}

	private void addToArchive(long epoch, Map<String, KeyRecord> keys, List<String> ran, List<String> unknown) {
		Consumer<String> addRan = (unique) -> ran.add(prefix(epoch) + unique);
		Consumer<String> addUnknown = (unique) -> unknown.add(prefix(epoch) + unique);
		for (Map.Entry<String, KeyRecord> entry : new TreeMap<>(keys).entrySet()) {
			switch (entry.getValue().outcome()) {
				case RAN -> addRan.accept(entry.getKey());
				case UNKNOWN, RUNNING -> addUnknown.accept(entry.getKey());
				case NOT_RUN -> {
				}
			}
		}
	}

	private String prefix(long epoch) {
		return IdempotencyKey.prefix(this.self.vm(), this.self.incarnation(), epoch);
	}

	private KeyVerdict rejectedForCapacity() {
		return new KeyVerdict.Rejected(new Refusal(RefusalReason.KEYS_FULL, Outcome.NOT_RUN, KEYS_FULL_RETRY_AFTER_MS,
				"No more idempotency keys can be stored; request addresses again and use a key with a new prefix."));
	}

	private static KeyVerdict rejected(RefusalReason reason, Outcome outcome, String message) {
		return new KeyVerdict.Rejected(new Refusal(reason, outcome, 0, message));
	}

}
