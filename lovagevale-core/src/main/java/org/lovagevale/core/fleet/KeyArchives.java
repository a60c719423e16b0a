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
 * Key archives of processes that stopped.
 *
 * <p>
 * Not thread-safe.
 */
final class KeyArchives {

	/**
	 * KeyArchives kept at a time, up to about 1 MB each. A rolling restart of 20 VMs
	 * leaves three on each.
	 */
	private static final int MAX_ARCHIVES = 16;

	private final Clock clock;

	private final LinkedHashMap<String, Archive> archives = new LinkedHashMap<>();

	KeyArchives(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Keeps an archive.
	 * @param message the archive
	 * @throws IllegalArgumentException if it is malformed
	 */
	void add(KeyArchive message) {
		VmName vm = new VmName(message.vm());
		Incarnation incarnation = Incarnation.parse(message.incarnation());
		String prefix = IdempotencyKey.prefix(vm, incarnation, 0);
		String name = name(vm, incarnation);
		long expiresAt = this.clock.millis() + message.validMs();
		this.archives.putLast(name, new Archive(Set.copyOf(message.ran()), Set.copyOf(message.unknown()),
				lastForgottenEpoch(message.unknown(), prefix), expiresAt));
		if (this.archives.size() > MAX_ARCHIVES) {
			this.archives.pollFirstEntry();
		}
	}

	/**
	 * Returns the outcome of a key of a process that stopped.
	 * @param key the key
	 * @return the outcome, or {@code null} if there is no archive of its owner
	 */
	@Nullable Outcome outcome(IdempotencyKey key) {
		Archive archive = this.archives.get(name(key.vm(), key.incarnation()));
		if (archive == null || this.clock.millis() > archive.expiresAt()) {
			return null;
		}
		if (archive.ran().contains(key.toString())) {
			return Outcome.RAN;
		}
		boolean isForgotten = key.epoch() <= archive.lastForgottenEpoch();
		return (isForgotten || archive.unknown().contains(key.toString())) ? Outcome.UNKNOWN : Outcome.NOT_RUN;
	}

	void expire() {
		long now = this.clock.millis();
		this.archives.values().removeIf((archive) -> now > archive.expiresAt());
	}

	private static long lastForgottenEpoch(List<String> unknown, String prefixOfFirstEpoch) {
		String owner = prefixOfFirstEpoch.substring(0, prefixOfFirstEpoch.length() - "0.".length());
		String end = "." + KeyArchive.EARLIER;
		return unknown.stream()
			.filter((entry) -> entry.startsWith(owner) && entry.endsWith(end))
			.mapToLong((entry) -> Long.parseLong(entry.substring(owner.length(), entry.length() - end.length())))
			.max()
			.orElse(-1);
	}

	private static String name(VmName vm, Incarnation incarnation) {
		return vm + "." + incarnation;
	}

	/**
	 * The outcomes of one process.
	 *
	 * @param ran keys that ran
	 * @param unknown keys whose outcome is unknown
	 * @param lastForgottenEpoch the last epoch of which nothing is known, -1 if there is
	 * none
	 * @param expiresAt when it expires, in monotonic milliseconds
	 */
	private record Archive(Set<String> ran, Set<String> unknown, long lastForgottenEpoch, long expiresAt) {

	}

}
