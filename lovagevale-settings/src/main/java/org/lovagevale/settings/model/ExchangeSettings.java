package org.lovagevale.settings.model;

/**
 * Settings of how entry processes exchange state, read the settings tree and determine
 * whether their settings are confirmed.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param peerLinks the links that a process opens to other entry processes
 * @param digestMs time between digests in milliseconds
 * @param unreachableMs time without news of a VM after which it counts as unreachable, in
 * milliseconds
 * @param peerBytesPerSecond the maximum number of bytes sent on one link in a second
 * @param fenceMs age of the last confirmation after which settings count as unconfirmed,
 * in milliseconds
 * @param settingsReaders processes that watch the settings service at a time
 * @param readerWindowMs length of the time window for which readers are chosen, in
 * milliseconds
 * @param watchMs duration of one long poll of the settings service, in milliseconds
 * @param selfReadMs age of the last confirmation after which a process reads the settings
 * service itself, in milliseconds
 * @param noticeWaitMs longest wait for acknowledgements of a notice, in milliseconds
 * @param clockSkewMs largest difference between wall clocks of VMs and servers, in
 * milliseconds
 */
public record ExchangeSettings(int peerLinks, long digestMs, long unreachableMs, int peerBytesPerSecond, long fenceMs,
		int settingsReaders, long readerWindowMs, long watchMs, long selfReadMs, long noticeWaitMs, long clockSkewMs) {

	/**
	 * Returns the defaults.
	 * @return the values used where the tree gives none
	 */
	public static ExchangeSettings defaults() {
		return new ExchangeSettings(6, 250, 3_000, 20_000, 2_500, 4, 10_000, 1_000, 1_500, 150, 250);
	}

}
