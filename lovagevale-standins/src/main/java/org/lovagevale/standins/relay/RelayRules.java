package org.lovagevale.standins.relay;

/**
 * The rules by which a relay handles its connections. They can be replaced while it runs.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param toTarget the mode of the direction from the source to the target
 * @param toSource the mode of the direction from the target to the source
 * @param delayMs the delay of each chunk in each direction, in milliseconds
 * @param refuse whether new connections are reset as soon as they are accepted
 */
public record RelayRules(LinkMode toTarget, LinkMode toSource, long delayMs, boolean refuse) {

	/**
	 * Returns rules that forward all bytes without delay.
	 * @return the rules
	 */
	public static RelayRules forward() {
		return new RelayRules(LinkMode.FORWARD, LinkMode.FORWARD, 0, false);
	}

	/**
	 * Returns rules that hold all bytes in both directions, to simulate a network
	 * partition.
	 * @return the rules
	 */
	public static RelayRules partition() {
		return new RelayRules(LinkMode.HOLD, LinkMode.HOLD, 0, false);
	}

	LinkMode mode(boolean towardsTarget) {
		return towardsTarget ? this.toTarget : this.toSource;
	}

}
