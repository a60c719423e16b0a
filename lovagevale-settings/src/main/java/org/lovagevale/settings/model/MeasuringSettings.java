package org.lovagevale.settings.model;

/**
 * Settings of probes and of cold starts.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param probeQuietMs time since the last response of a backend server after which it is
 * probed, in milliseconds
 * @param probesPerMinute the maximum number of probes of one backend server in a minute,
 * from all VMs together
 * @param coldWindowMs length of the time window for which one VM owns a cold server, in
 * milliseconds
 * @param coldMinimumMs shortest time left in a window for new work to a cold server, in
 * milliseconds
 */
public record MeasuringSettings(long probeQuietMs, int probesPerMinute, long coldWindowMs, long coldMinimumMs) {

	/**
	 * Returns the defaults.
	 * @return the values used where the tree gives none
	 */
	public static MeasuringSettings defaults() {
		return new MeasuringSettings(2_000, 12, 5_000, 200);
	}

}
