package org.lovagevale.standins.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.lovagevale.base.Clock;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Stores the published versions of the settings tree. Readers can wait for a newer
 * version or receive a stale one.
 *
 * <p>
 * Invariant: versions only increase. Thread-safe.
 */
public final class SettingsStore {

	private final Clock clock;

	private final List<PublishedSettings> versions = new ArrayList<>();

	private final Sinks.Many<Boolean> changes = Sinks.many().multicast().directBestEffort();

	private long staleVersion;

	private long staleUntilMs;

	/**
	 * Creates an empty store.
	 * @param clock the clock
	 */
	public SettingsStore(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Publishes a settings tree as the next version.
	 * @param content the settings tree
	 * @return its version
	 */
	public long publish(String content) {
		long version;
		synchronized (this) {
			version = this.versions.isEmpty() ? 1 : latest().version() + 1;
			this.versions.add(new PublishedSettings(version, content));
		}
		notifyWatches();
		return version;
	}

	/**
	 * Serves an older version in place of the latest one for a limited time.
	 * @param version the version to serve
	 * @param durationMs the time for which it is served, in milliseconds
	 * @throws IllegalArgumentException if the version was never published
	 */
	public synchronized void serveStale(long version, long durationMs) {
		find(version);
		this.staleVersion = version;
		this.staleUntilMs = this.clock.millis() + durationMs;
	}

	/**
	 * Returns the version that is currently served.
	 * @return the latest version, or the one given to {@link #serveStale(long, long)}
	 * until its time has passed
	 * @throws IllegalStateException if nothing was published
	 */
	public synchronized PublishedSettings served() {
		if (this.versions.isEmpty()) {
			throw new IllegalStateException("no settings were published");
		}
		return (this.clock.millis() < this.staleUntilMs) ? find(this.staleVersion) : latest();
	}

	/**
	 * Returns the served version if it is newer than the one the reader has, and
	 * otherwise waits for a newer one.
	 * @param after the version that the reader has
	 * @param waitMs the maximum time to wait in milliseconds, 0 for none
	 * @return the served version, or empty if no newer version was served in time
	 */
	public Mono<PublishedSettings> read(long after, long waitMs) {
		Mono<PublishedSettings> now = Mono.fromSupplier(this::served).filter((found) -> found.version() > after);
		if (waitMs <= 0) {
			return now;
		}
		Mono<PublishedSettings> later = this.changes.asFlux()
			.map((change) -> served())
			.filter((found) -> found.version() > after)
			.next();
		// Subscribes to changes before checking the current version, so that no version
		// published in between is missed.
		Mono<PublishedSettings> first = Mono.firstWithValue(later, now.switchIfEmpty(Mono.never()));
		return first.timeout(Duration.ofMillis(waitMs), Mono.empty());
	}

	// A sink rejects concurrent emissions, so they are serialized.
	private void notifyWatches() {
		synchronized (this.changes) {
			this.changes.tryEmitNext(Boolean.TRUE);
		}
	}

	private PublishedSettings latest() {
		return this.versions.get(this.versions.size() - 1);
	}

	private PublishedSettings find(long version) {
		return this.versions.stream()
			.filter((published) -> published.version() == version)
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException("version " + version + " was never published"));
	}

}
