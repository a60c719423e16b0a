package org.lovagevale.core.fleet;

import org.lovagevale.base.Clock;
import org.lovagevale.base.RandomSource;
import org.lovagevale.core.DecisionSink;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.decision.ReadSettings;
import org.lovagevale.core.decision.ReadVmList;

/**
 * Decides when to read the settings service and the list of VMs.
 *
 * <p>
 * Invariant: at most one read of the settings is outstanding. The executor answers each
 * {@code ReadSettings} with exactly one event. Not thread-safe.
 */
final class PlatformReads {

	/**
	 * Minimum time between two reads of a process that is not a reader, and after a
	 * failed read.
	 */
	static final long MIN_READ_INTERVAL_MS = 1_000;

	private static final int MAX_JITTER_MS = 500;

	// Limits the read rate of a reader if the service answers a watch immediately.
	private static final long MIN_READER_INTERVAL_MS = 200;

	private static final long VM_LIST_INTERVAL_MS = 2_000;

	private final ProcessIdentity self;

	private final Clock clock;

	private final RandomSource random;

	private final DecisionSink sink;

	private final ActiveSettings activeSettings;

	private final SettingsFreshness freshness;

	private final ReaderSelector readers;

	private boolean outstanding;

	private long issuedAt;

	private long waitMs;

	private long nextAt = Heartbeat.NEVER;

	private long nextVmListAt = Heartbeat.NEVER;

	PlatformReads(ProcessIdentity self, Clock clock, RandomSource random, DecisionSink sink,
			ActiveSettings activeSettings, SettingsFreshness freshness) {
		this.self = self;
		this.clock = clock;
		this.random = random;
		this.sink = sink;
		this.activeSettings = activeSettings;
		this.freshness = freshness;
		this.readers = new ReaderSelector(clock, activeSettings);
	}

	void tick(boolean starting) {
		boolean isReader = this.readers.isReader(this.self.vm());
		readSettings(isReader);
		readVmList(isReader || starting);
	}

	/**
	 * Completes the outstanding read with an answer that the service may have given at
	 * any time since the read was issued.
	 * @return the latest time at which the answer is known to have been valid, in
	 * monotonic milliseconds, {@link Heartbeat#NEVER} if no read was outstanding
	 */
	long answered() {
		long at = this.outstanding ? this.issuedAt : Heartbeat.NEVER;
		this.outstanding = false;
		return at;
	}

	/**
	 * Completes the outstanding read with the answer that no newer version appeared while
	 * the service waited.
	 * @return the latest time at which the answer is known to have been valid, in
	 * monotonic milliseconds, {@link Heartbeat#NEVER} if no read was outstanding; at most
	 * the end of the wait, because this process may have been paused after it
	 */
	long answeredAfterWait() {
		long waitedUntil = this.issuedAt + this.waitMs;
		return (answered() == Heartbeat.NEVER) ? Heartbeat.NEVER : Math.min(this.clock.millis(), waitedUntil);
	}

	void failed() {
		this.outstanding = false;
		this.nextAt = this.clock.millis() + MIN_READ_INTERVAL_MS + this.random.nextInt(MAX_JITTER_MS);
	}

	private void readSettings(boolean isReader) {
		if (this.outstanding || this.clock.millis() < this.nextAt) {
			return;
		}
		if (this.activeSettings.settings() == null) {
			read(0, MIN_READ_INTERVAL_MS + this.random.nextInt(MAX_JITTER_MS));
		}
		else if (isReader) {
			read(watchMs(), MIN_READER_INTERVAL_MS);
		}
		else if (!this.freshness.isConfirmed(this.activeSettings.exchange().selfReadMs())) {
			read(0, MIN_READ_INTERVAL_MS + this.random.nextInt(MAX_JITTER_MS));
		}
	}

	private void read(long waitMs, long minIntervalMs) {
		this.outstanding = true;
		this.issuedAt = this.clock.millis();
		this.waitMs = waitMs;
		this.nextAt = this.issuedAt + minIntervalMs;
		this.sink.add(new ReadSettings(this.activeSettings.version(), waitMs));
	}

	// Randomizes the length of a watch so that the readers do not run in step and the
	// newest confirmation in the fleet is only a fraction of a watch old.
	private long watchMs() {
		int half = (int) Math.max(1, this.activeSettings.exchange().watchMs() / 2);
		return half + this.random.nextInt(half + 1);
	}

	private void readVmList(boolean isDue) {
		long now = this.clock.millis();
		if (isDue && now >= this.nextVmListAt) {
			this.nextVmListAt = now + VM_LIST_INTERVAL_MS;
			this.sink.add(new ReadVmList());
		}
	}

}
