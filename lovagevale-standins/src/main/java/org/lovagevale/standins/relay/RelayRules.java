package org.lovagevale.standins.relay;

/**
 * What a relay does with its connections, changeable while it runs.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param toTarget the mode of bytes towards the target
 * @param toSource the mode of bytes towards the source
 * @param delayMs the delay of each chunk in each direction, in milliseconds
 * @param refuse whether new connections are reset
 */
public record RelayRules(LinkMode toTarget, LinkMode toSource, long delayMs, boolean refuse) {

	/**
	 * Returns the rules of a relay that only forwards.
	 * @return the rules
	 */
	public static RelayRules forward() {
		return new RelayRules(LinkMode.FORWARD, LinkMode.FORWARD, 0, false);
	}

	/**
	 * Returns the rules of a partition in both directions.
	 * @return the rules
	 */
	public static RelayRules partition() {
		return new RelayRules(LinkMode.HOLD, LinkMode.HOLD, 0, false);
	}

	LinkMode mode(boolean towardsTarget) {
		return towardsTarget ? this.toTarget : this.toSource;
	}

}
