package org.lovagevale.core.fleet;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.VmName;
import org.lovagevale.core.message.SettingsRequest;

/**
 * How fresh the settings in force are, and which peers claim newer ones.
 *
 * <p>
 * Invariant: the time of confirmation is never later than a time at which the platform
 * did not yet have a newer version, whatever was delayed or paused on the way. Not
 * thread-safe.
 */
final class SettingsFreshness {

	/** Time after which the settings are requested from another peer. */
	static final long REQUEST_MS = 1_000;

	private final Clock clock;

	private final Published published;

	private final Map<VmName, Claim> claims = new HashMap<>();

	private long confirmedAt = Heartbeat.NEVER;

	private long newerVersion;

	private long newerConfirmedAt = Heartbeat.NEVER;

	private long requestedVersion;

	private long requestedAt = Heartbeat.NEVER;

	SettingsFreshness(Clock clock, Published published) {
		this.clock = clock;
		this.published = published;
	}

	/**
	 * Returns the time since the settings in force were confirmed as the latest.
	 * @return the time in milliseconds, -1 if they never were
	 */
	long ageMs() {
		return (this.confirmedAt == Heartbeat.NEVER) ? -1 : Math.max(0, this.clock.millis() - this.confirmedAt);
	}

	boolean isConfirmed(long withinMs) {
		return this.confirmedAt != Heartbeat.NEVER && this.clock.millis() - this.confirmedAt <= withinMs;
	}

	/**
	 * Records that a version was the latest at a time.
	 * @param version the version
	 * @param at the time in monotonic milliseconds
	 * @return {@code true} unless the version is below the highest that is known
	 */
	boolean confirm(long version, long at) {
		if (version < this.published.version() || version < highestClaim()) {
			return false;
		}
		if (version == this.published.version()) {
			this.confirmedAt = Math.max(this.confirmedAt, at);
		}
		else {
			confirmNewer(version, at);
		}
		return true;
	}

	/**
	 * Takes over what is known about a version that is now in force.
	 */
	void adopted() {
		boolean isKnown = this.newerVersion == this.published.version();
		this.confirmedAt = isKnown ? this.newerConfirmedAt : Heartbeat.NEVER;
	}

	void claim(VmName peer, long version) {
		this.claims.put(peer, new Claim(version, this.clock.millis()));
	}

	/**
	 * Returns the highest version that a peer claimed lately.
	 * @return the version, 0 if there is none
	 */
	long highestClaim() {
		long since = this.clock.millis() - this.published.exchange().unreachableMs();
		return this.claims.values()
			.stream()
			.filter((claim) -> claim.receivedAt() >= since)
			.mapToLong(Claim::version)
			.max()
			.orElse(0);
	}

	/**
	 * Returns the request to send to a peer that claims a version.
	 * @param version the version
	 * @return the request, or {@code null} if none is needed or one is under way
	 */
	@Nullable SettingsRequest requestFor(long version) {
		long now = this.clock.millis();
		boolean isUnderWay = this.requestedVersion >= version && now - this.requestedAt < REQUEST_MS;
		if (version <= this.published.version() || isUnderWay) {
			return null;
		}
		this.requestedVersion = version;
		this.requestedAt = now;
		return new SettingsRequest(this.published.version());
	}

	private void confirmNewer(long version, long at) {
		if (version > this.newerVersion) {
			this.newerVersion = version;
			this.newerConfirmedAt = at;
		}
		else if (version == this.newerVersion) {
			this.newerConfirmedAt = Math.max(this.newerConfirmedAt, at);
		}
	}

	/**
	 * A version that a peer has.
	 *
	 * @param version the version
	 * @param receivedAt when the peer said so, in monotonic milliseconds
	 */
	private record Claim(long version, long receivedAt) {

	}

}
