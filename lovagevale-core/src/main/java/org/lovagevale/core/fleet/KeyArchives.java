package org.lovagevale.core.fleet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.keys.IdempotencyKey;
import org.lovagevale.core.message.KeyArchive;

/**
 * Stores the key archives that stopped processes handed over to this process.
 *
 * <p>
 * Not thread-safe.
 */
final class KeyArchives {

	/**
	 * Maximum number of archives; the oldest is dropped when there are more. An archive
	 * takes up to about 1 MB, and a rolling restart of 20 VMs leaves three of them on
	 * each VM.
	 */
	private static final int MAX_ARCHIVES = 16;

	private final Clock clock;

	private final LinkedHashMap<String, Archive> archivesByOwner = new LinkedHashMap<>();

	KeyArchives(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Stores an archive until its validity ends.
	 * @param message the archive
	 * @throws IllegalArgumentException if it is malformed
	 */
	void add(KeyArchive message) {
		VmName vm = new VmName(message.vm());
		Incarnation incarnation = Incarnation.parse(message.incarnation());
		String prefix = IdempotencyKey.prefix(vm, incarnation, 0);
		String owner = owner(vm, incarnation);
		long expiresAt = this.clock.millis() + message.validMs();
		this.archivesByOwner.putLast(owner, new Archive(Set.copyOf(message.ran()), Set.copyOf(message.unknown()),
				lastUnknownEpoch(message.unknown(), prefix), expiresAt));
		if (this.archivesByOwner.size() > MAX_ARCHIVES) {
			this.archivesByOwner.pollFirstEntry();
		}
	}

	/**
	 * Returns the outcome of a key of a process that stopped.
	 * @param key the key
	 * @return the outcome, or {@code null} if no valid archive of its owner is stored
	 */
	@Nullable Outcome outcome(IdempotencyKey key) {
		Archive archive = this.archivesByOwner.get(owner(key.vm(), key.incarnation()));
		if (archive == null || this.clock.millis() > archive.expiresAt()) {
			return null;
		}
		if (archive.ran().contains(key.toString())) {
			return Outcome.RAN;
		}
		boolean isEpochUnknown = key.epoch() <= archive.lastUnknownEpoch();
		return (isEpochUnknown || archive.unknown().contains(key.toString())) ? Outcome.UNKNOWN : Outcome.NOT_RUN;
	}

	void expire() {
		long now = this.clock.millis();
		this.archivesByOwner.values().removeIf((archive) -> now > archive.expiresAt());
	}

	private static long lastUnknownEpoch(List<String> unknown, String prefixOfFirstEpoch) {
		String ownerPrefix = prefixOfFirstEpoch.substring(0, prefixOfFirstEpoch.length() - "0.".length());
		String suffix = "." + KeyArchive.THIS_AND_EARLIER_EPOCHS;
		return unknown.stream()
			.filter((entry) -> entry.startsWith(ownerPrefix) && entry.endsWith(suffix))
			.mapToLong(
					(entry) -> Long.parseLong(entry.substring(ownerPrefix.length(), entry.length() - suffix.length())))
			.max()
			.orElse(-1);
	}

	private static String owner(VmName vm, Incarnation incarnation) {
		return vm + "." + incarnation;
	}

	/**
	 * The outcomes of the keys of one process.
	 *
	 * @param ran keys that ran
	 * @param unknown keys whose outcome is not known
	 * @param lastUnknownEpoch the last epoch whose keys have an unknown outcome unless
	 * they are in {@code ran}, as have those of all earlier epochs; -1 if there is none
	 * @param expiresAt when the archive expires, in monotonic milliseconds
	 */
	private record Archive(Set<String> ran, Set<String> unknown, long lastUnknownEpoch, long expiresAt) {

	}

}
