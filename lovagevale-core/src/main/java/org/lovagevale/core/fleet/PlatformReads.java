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
 * Invariant: at most one read of the settings is outstanding. Each {@code ReadSettings}
 * decision must be answered by exactly one event. Not thread-safe.
 */
final class PlatformReads {

	/**
	 * Minimum time between two reads of the settings by a process that is not a reader,
	 * and after a failed read.
	 */
	static final long MIN_READ_INTERVAL_MS = 1_000;

	private static final int MAX_JITTER_MS = 500;

	// Limits the read rate of a reader if the service answers long polls immediately.
	private static final long MIN_READER_INTERVAL_MS = 200;

	private static final long VM_LIST_INTERVAL_MS = 2_000;

	private final ProcessIdentity self;

	private final Clock clock;

	private final RandomSource random;

	private final DecisionSink sink;

	private final ActiveSettings activeSettings;

	private final SettingsFreshness freshness;

	private final ReaderSelector readers;

	private boolean readOutstanding;

	private long issuedAt;

	private long waitMs;

	private long nextReadAt = Heartbeat.NEVER;

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
		readSettingsIfDue(isReader);
		readVmListIfDue(isReader || starting);
	}

	/**
	 * Completes the outstanding read, which the service may have answered at any time
	 * since the read was issued.
	 * @return the latest time at which the answer is known to have been valid, in
	 * monotonic milliseconds, {@link Heartbeat#NEVER} if no read was outstanding
	 */
	long completeRead() {
		long at = this.readOutstanding ? this.issuedAt : Heartbeat.NEVER;
		this.readOutstanding = false;
		return at;
	}

	/**
	 * Completes the outstanding read, which the service answered because no newer version
	 * appeared while it waited.
	 * @return the latest time at which the answer is known to have been valid, in
	 * monotonic milliseconds, {@link Heartbeat#NEVER} if no read was outstanding; at most
	 * the end of the wait, because this process may have been paused after it
	 */
	long completeWait() {
		long waitedUntil = this.issuedAt + this.waitMs;
		return (completeRead() == Heartbeat.NEVER) ? Heartbeat.NEVER : Math.min(this.clock.millis(), waitedUntil);
	}

	void recordFailure() {
		this.readOutstanding = false;
		this.nextReadAt = this.clock.millis() + MIN_READ_INTERVAL_MS + this.random.nextInt(MAX_JITTER_MS);
	}

	private void readSettingsIfDue(boolean isReader) {
		if (this.readOutstanding || this.clock.millis() < this.nextReadAt) {
			return;
		}
		if (this.activeSettings.settings() == null) {
			readSettings(0, MIN_READ_INTERVAL_MS + this.random.nextInt(MAX_JITTER_MS));
		}
		else if (isReader) {
			readSettings(randomWaitMs(), MIN_READER_INTERVAL_MS);
		}
		else if (!this.freshness.isConfirmed(this.activeSettings.exchange().selfReadMs())) {
			readSettings(0, MIN_READ_INTERVAL_MS + this.random.nextInt(MAX_JITTER_MS));
		}
	}

	private void readSettings(long waitMs, long minIntervalMs) {
		this.readOutstanding = true;
		this.issuedAt = this.clock.millis();
		this.waitMs = waitMs;
		this.nextReadAt = this.issuedAt + minIntervalMs;
		this.sink.add(new ReadSettings(this.activeSettings.version(), waitMs));
	}

	// Randomizes the duration of a long poll so that the readers do not synchronize and
	// the newest confirmation in the fleet is only a fraction of that duration old.
	private long randomWaitMs() {
		int half = (int) Math.max(1, this.activeSettings.exchange().watchMs() / 2);
		return half + this.random.nextInt(half + 1);
	}

	private void readVmListIfDue(boolean isNeeded) {
		long now = this.clock.millis();
		if (isNeeded && now >= this.nextVmListAt) {
			this.nextVmListAt = now + VM_LIST_INTERVAL_MS;
			this.sink.add(new ReadVmList());
		}
	}

}
