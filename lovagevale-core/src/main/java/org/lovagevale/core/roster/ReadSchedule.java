package org.lovagevale.core.roster;

/**
 * Decides when a process reads the platform.
 *
 * <p>
 * One process of a region reads every {@link #INTERVAL_MS} and passes on what it read.
 * The others read only when nothing was passed on for a time that grows with their rank,
 * so a reader that is cut off is replaced within a second or two. A process whose reads
 * fail goes behind the others. Not thread-safe.
 */
public final class ReadSchedule {

	/** The time between two reads of the reader, in milliseconds. */
	public static final long INTERVAL_MS = 700;

	/** The age of the state at which the first other process reads, in milliseconds. */
	public static final long TAKEOVER_MS = 1_100;

	/** The further age for each rank, in milliseconds. */
	public static final long RANK_MS = 200;

	/** Ranks above this one wait no longer than it. */
	private static final int MAX_RANK = 5;

	/** The pause after a failed read, in milliseconds. */
	private static final long FAILURE_PAUSE_MS = 500;

	private static final int FAILURE_RANK_PENALTY = 3;

	private boolean reader;

	private int failures;

	private long startedAt = Long.MIN_VALUE;

	private boolean reading;

	/**
	 * Tells whether to read now.
	 * @param ageMs the age of the known state in milliseconds
	 * @param rank the rank of this process among the readers, 0 being first
	 * @param now the monotonic time in milliseconds
	 * @return {@code true} to read
	 */
	public boolean isDue(long ageMs, int rank, long now) {
		if (this.reading || this.failures > 0 && now - this.startedAt < FAILURE_PAUSE_MS) {
			return false;
		}
		if (ageMs == Long.MAX_VALUE) {
			return true;
		}
		if (this.reader) {
			return ageMs >= INTERVAL_MS;
		}
		int effective = Math.min(MAX_RANK, rank + ((this.failures > 0) ? FAILURE_RANK_PENALTY : 0));
		return ageMs >= TAKEOVER_MS + effective * RANK_MS;
	}

	/**
	 * Notes that a read began.
	 * @param now the monotonic time in milliseconds
	 */
	public void recordStart(long now) {
		this.reading = true;
		this.startedAt = now;
	}

	/**
	 * Notes that a read brought the state.
	 */
	public void recordSuccess() {
		this.reading = false;
		this.failures = 0;
		this.reader = true;
	}

	/**
	 * Notes that a read failed.
	 */
	public void recordFailure() {
		this.reading = false;
		this.failures++;
		this.reader = false;
	}

	/**
	 * Notes that another process passed on a newer state.
	 */
	public void recordNewerState() {
		this.reader = false;
	}

	/**
	 * Tells whether this process is the reader of its region.
	 * @return {@code true} if it read last
	 */
	public boolean isReader() {
		return this.reader;
	}

	/**
	 * Returns the failed reads since the last successful one.
	 * @return the number
	 */
	public int failures() {
		return this.failures;
	}

}
