package org.lovagevale.core.roster;

/**
 * Decides when a process reads the state from the platform.
 *
 * <p>
 * One process of a region, the reader, reads every {@link #INTERVAL_MS} and passes the
 * state on to the others. These read only when they received no state for a time that
 * grows with their rank, so a reader that is cut off is replaced within a second or two.
 * A process whose reads fail is ranked behind the others.
 *
 * <p>
 * A process that starts requests the state from another process of its region once one is
 * known, since a complete read by each of them takes long on slow links and is billed
 * between regions. It reads the platform only if no other process is known after a short
 * time or if the state does not arrive. Not thread-safe.
 */
public final class ReadSchedule {

	/** Interval between two reads of the reader, in milliseconds. */
	public static final long INTERVAL_MS = 700;

	/** Age of the state at which the process of rank 0 takes over, in milliseconds. */
	public static final long TAKEOVER_AGE_MS = 1_100;

	/** Additional age for each further rank, in milliseconds. */
	public static final long RANK_DELAY_MS = 200;

	/** Highest rank that counts; higher ranks wait no longer than this one. */
	private static final int MAX_RANK = 5;

	/**
	 * Minimum time between the start of a failed read and the next one, in milliseconds.
	 */
	private static final long FAILURE_PAUSE_MS = 500;

	/**
	 * Time after which a read that reported neither success nor failure counts as failed,
	 * in milliseconds. Reads have timeouts of their own, which are shorter.
	 */
	static final long MAX_READ_MS = 10_000;

	/**
	 * Time without data after which a response counts as lost, in milliseconds. A healthy
	 * platform responds within a few milliseconds, a slow one within about 300.
	 */
	static final long SILENCE_MS = 900;

	/**
	 * Time without data after which the response to every second read in a series of
	 * failed ones counts as lost, in milliseconds. It covers a platform on a busy
	 * machine.
	 */
	static final long LONG_SILENCE_MS = 3_000;

	/**
	 * Time for which a process without a state waits for the one that it requested, in
	 * milliseconds. A large catalog takes about 100 ms at 7 Mbit/s when compressed.
	 */
	static final long REQUESTED_STATE_TIMEOUT_MS = 500;

	/**
	 * Age from which the state of another process is not adopted by a process without
	 * one, in milliseconds: nobody in its region reads the platform then.
	 */
	static final long MAX_INITIAL_STATE_AGE_MS = TAKEOVER_AGE_MS;

	/** Ranks by which a process whose reads fail is moved back. */
	private static final int FAILURE_RANK_PENALTY = 3;

	/**
	 * Processor time after which a process has heard from its peers, in milliseconds of a
	 * whole core. A VM with less than one core is given that longer before its first
	 * read, since the read would take the processor from it.
	 */
	private static final long PEER_DISCOVERY_MS = 60;

	private static final int PERCENT_PER_CORE = 100;

	private final long initialReadAt;

	private boolean reader;

	private int failures;

	/** Whether these failures move this process back in the order of readers. */
	private boolean movedBack;

	private long startedAt = Long.MIN_VALUE;

	private boolean reading;

	private boolean stateRequested;

	private long stateRequestedAt;

	/**
	 * Creates the schedule of a process that starts.
	 * @param now the monotonic time in milliseconds
	 * @param capacityPercent the processing capacity of the VM in percent of a core
	 */
	public ReadSchedule(long now, int capacityPercent) {
		long discoveryMs = PEER_DISCOVERY_MS * PERCENT_PER_CORE / Math.max(1, capacityPercent);
		this.initialReadAt = now + Math.max(0, discoveryMs - PEER_DISCOVERY_MS);
	}

	/**
	 * Tells whether to start a read now.
	 * @param ageMs the age of the known state in milliseconds, {@link Long#MAX_VALUE} if
	 * there is none
	 * @param rank the rank of this process in the order of potential readers, 0 being
	 * first
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} if a read is due
	 */
	public boolean isDue(long ageMs, int rank, long now) {
		if (this.reading && now - this.startedAt >= MAX_READ_MS) {
			recordFailure();
		}
		if (this.reading || this.failures > 0 && now - this.startedAt < FAILURE_PAUSE_MS) {
			return false;
		}
		if (ageMs == Long.MAX_VALUE) {
			return this.stateRequested ? now - this.stateRequestedAt >= REQUESTED_STATE_TIMEOUT_MS
					: now >= this.initialReadAt;
		}
		if (this.reader) {
			return ageMs >= INTERVAL_MS;
		}
		int effectiveRank = Math.min(MAX_RANK, rank + (this.movedBack ? FAILURE_RANK_PENALTY : 0));
		return ageMs >= TAKEOVER_AGE_MS + effectiveRank * RANK_DELAY_MS;
	}

	/**
	 * Tells whether a process that has no state is to request one from another process.
	 * @return {@code true} if none was requested since the last failed read
	 */
	public boolean mayRequestState() {
		return !this.stateRequested;
	}

	/**
	 * Records that the state was requested from another process. A read in progress is
	 * cancelled by the caller of this method.
	 * @param now the monotonic time in milliseconds
	 */
	public void recordStateRequested(long now) {
		this.stateRequested = true;
		this.stateRequestedAt = now;
		this.reading = false;
	}

	/**
	 * Records that the requested state will not arrive, so that the platform is read.
	 */
	public void recordRequestFailed() {
		this.stateRequestedAt -= REQUESTED_STATE_TIMEOUT_MS;
	}

	/**
	 * Tells whether a process that has no state adopts the one of another process. An old
	 * one is adopted only if the platform could not be read.
	 * @param ageMs the age of that state in milliseconds
	 * @return {@code true} if it is adopted
	 */
	public boolean isInitialStateAccepted(long ageMs) {
		return this.failures > 0 || ageMs < MAX_INITIAL_STATE_AGE_MS;
	}

	/**
	 * Returns for how long the next read waits for data. A platform that has lost a
	 * response is asked again soon, and one that is slower than that gets more time the
	 * next time.
	 * @return the time in milliseconds
	 */
	public long silenceMs() {
		return (this.failures % 2 == 0) ? SILENCE_MS : LONG_SILENCE_MS;
	}

	/**
	 * Records that a read was started.
	 * @param now the monotonic time in milliseconds
	 */
	public void recordStart(long now) {
		this.reading = true;
		this.startedAt = now;
	}

	/**
	 * Records that a read returned the state. This process is the reader from now on.
	 */
	public void recordSuccess() {
		this.reading = false;
		this.failures = 0;
		this.movedBack = false;
		this.reader = true;
	}

	/**
	 * Records that a read failed. This process is no longer the reader, and may request
	 * the state of another process again, since it now accepts an old one.
	 */
	public void recordFailure() {
		this.stateRequested = false;
		this.reading = false;
		this.failures++;
		this.movedBack = true;
		this.reader = false;
	}

	/**
	 * Records since when the store has been answering other processes. A read that was
	 * started earlier failed because of its outage, and does not move this process back.
	 * @param since the monotonic time in milliseconds
	 */
	public void recordStoreContact(long since) {
		if (since > this.startedAt) {
			this.movedBack = false;
		}
	}

	/**
	 * Records that another process passed on a newer state. This process is no longer the
	 * reader.
	 */
	public void recordNewerState() {
		this.reader = false;
	}

	/**
	 * Tells whether this process is the reader of its region.
	 * @return {@code true} if the newest state was read by this process
	 */
	public boolean isReader() {
		return this.reader;
	}

	/**
	 * Returns the number of failed reads since the last successful one.
	 * @return the number of failed reads
	 */
	public int failures() {
		return this.failures;
	}

}
