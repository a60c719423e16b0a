package org.lovagevale.core.fleet;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.VmName;
import org.lovagevale.core.message.SettingsRequest;

/**
 * Tracks when the settings in force were last confirmed as the latest and which versions
 * peers report.
 *
 * <p>
 * Invariant: at the recorded time of confirmation, the platform did not yet have a newer
 * version, regardless of delayed messages and paused processes. Not thread-safe.
 */
final class SettingsFreshness {

	/** Time after which the settings are requested from another peer. */
	static final long REQUEST_TIMEOUT_MS = 1_000;

	private final Clock clock;

	private final ActiveSettings activeSettings;

	private final Map<VmName, PeerVersion> peerVersions = new HashMap<>();

	private long confirmedAt = Heartbeat.NEVER;

	// The highest version that was confirmed before it was in force here.
	private long newerVersion;

	private long newerConfirmedAt = Heartbeat.NEVER;

	private long requestedVersion;

	private long requestedAt = Heartbeat.NEVER;

	SettingsFreshness(Clock clock, ActiveSettings activeSettings) {
		this.clock = clock;
		this.activeSettings = activeSettings;
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
	 * Records that a version was the latest one at the given time.
	 * @param version the version
	 * @param at the time in monotonic milliseconds
	 * @return {@code true} unless the version is below the highest that is known
	 */
	boolean confirm(long version, long at) {
		if (version < this.activeSettings.version() || version < highestPeerVersion()) {
			return false;
		}
		if (version == this.activeSettings.version()) {
			this.confirmedAt = Math.max(this.confirmedAt, at);
		}
		else {
			confirmNewer(version, at);
		}
		return true;
	}

	/**
	 * Applies the confirmation that was recorded for a newer version, after that version
	 * came into force.
	 */
	void applyNewerConfirmation() {
		boolean isConfirmed = this.newerVersion == this.activeSettings.version();
		this.confirmedAt = isConfirmed ? this.newerConfirmedAt : Heartbeat.NEVER;
	}

	void recordPeerVersion(VmName peer, long version) {
		this.peerVersions.put(peer, new PeerVersion(version, this.clock.millis()));
	}

	/**
	 * Returns the highest version that a peer reported recently.
	 * @return the version, 0 if there is none
	 */
	long highestPeerVersion() {
		long since = this.clock.millis() - this.activeSettings.exchange().unreachableMs();
		return this.peerVersions.values()
			.stream()
			.filter((reported) -> reported.receivedAt() >= since)
			.mapToLong(PeerVersion::version)
			.max()
			.orElse(0);
	}

	/**
	 * Returns the request to send to a peer that reports a version.
	 * @param version the version
	 * @return the request, or {@code null} if none is needed or one is pending
	 */
	@Nullable SettingsRequest requestFor(long version) {
		long now = this.clock.millis();
		boolean isPending = this.requestedVersion >= version && now - this.requestedAt < REQUEST_TIMEOUT_MS;
		if (version <= this.activeSettings.version() || isPending) {
			return null;
		}
		this.requestedVersion = version;
		this.requestedAt = now;
		return new SettingsRequest(this.activeSettings.version());
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
	 * A settings version reported by a peer.
	 *
	 * @param version the version
	 * @param receivedAt when the report was received, in monotonic milliseconds
	 */
	private record PeerVersion(long version, long receivedAt) {

	}

}
