package org.lovagevale.node.wiring;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.lovagevale.base.Clock;
import org.lovagevale.base.LogLine;
import org.lovagevale.core.AuditEntry;
import org.lovagevale.core.decision.ReadSettings;
import org.lovagevale.core.event.Event;
import org.lovagevale.core.event.SettingsConfirmed;
import org.lovagevale.core.event.SettingsReceived;
import org.lovagevale.core.event.SettingsUnavailable;
import org.lovagevale.core.message.SettingsBody;
import org.lovagevale.platform.NewSettings;
import org.lovagevale.platform.PlatformClient;
import org.lovagevale.platform.SettingsResponse;
import org.lovagevale.platform.SettingsUnchanged;
import org.lovagevale.settings.SettingsError;
import org.lovagevale.settings.SettingsException;
import org.lovagevale.settings.SettingsReader;
import org.lovagevale.settings.model.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads settings trees from the platform and from peers, and validates them.
 *
 * <p>
 * Invariant: each {@link ReadSettings} is answered with exactly one event, and a rejected
 * tree never reaches the decision logic. Trees are parsed one at a time on the given
 * executor. Thread-safe.
 */
public final class SettingsLoader {

	private static final Logger LOG = LoggerFactory.getLogger(SettingsLoader.class);

	/** Number of settings trees whose text is kept for the admin port. */
	private static final int MAX_KEPT_TREES = 2;

	private final SettingsReader reader;

	private final PlatformClient platform;

	private final Executor executor;

	private final Clock clock;

	private final Consumer<Event> events;

	private final Consumer<AuditEntry> audit;

	private final AtomicLong rejectedVersion = new AtomicLong();

	private final AtomicLong readFailures = new AtomicLong();

	private final AtomicLong reads = new AtomicLong();

	private final AtomicLong rejections = new AtomicLong();

	private final Map<Long, String> contents = new LinkedHashMap<>();

	/**
	 * Creates a loader.
	 * @param reader the parser
	 * @param platform the platform
	 * @param executor runs the parser, one task at a time
	 * @param clock the clock
	 * @param events receives the events for the decision logic
	 * @param audit receives entries of the audit trail
	 */
	public SettingsLoader(SettingsReader reader, PlatformClient platform, Executor executor, Clock clock,
			Consumer<Event> events, Consumer<AuditEntry> audit) {
		this.reader = reader;
		this.platform = platform;
		this.executor = executor;
		this.clock = clock;
		this.events = events;
		this.audit = audit;
	}

	/**
	 * Sends one read to the settings service.
	 * @param decision the version in force and the longest wait
	 */
	public void read(ReadSettings decision) {
		// Requests only versions above a rejected one; otherwise the service would return
		// the same rejected tree immediately on each read.
		long after = Math.max(decision.afterVersion(), this.rejectedVersion.get());
		this.reads.incrementAndGet();
		this.platform.readSettings(after, decision.waitMs())
			.subscribe((answer) -> handleAnswer(decision.afterVersion(), answer), this::handleReadFailure);
	}

	/**
	 * Validates a settings tree that a peer has sent.
	 * @param body the message
	 */
	public void receive(SettingsBody body) {
		if (body.baseVersion() != 0) {
			LOG.warn("{}",
					LogLine.event("settings.ignored")
						.with("version", body.version())
						.with("reason", "differences between versions are not supported"));
			return;
		}
		this.executor.execute(() -> parse(body.version(), body.content(), false));
	}

	/**
	 * Returns the text of a recent settings tree.
	 * @param version the version
	 * @return the text, or empty if it is no longer kept
	 */
	public Optional<String> content(long version) {
		synchronized (this.contents) {
			return Optional.ofNullable(this.contents.get(version));
		}
	}

	/**
	 * Returns the number of reads of the settings service.
	 * @return the number of reads since the process started
	 */
	public long reads() {
		return this.reads.get();
	}

	/**
	 * Returns the number of reads that failed.
	 * @return the number of failed reads since the process started
	 */
	public long readFailures() {
		return this.readFailures.get();
	}

	/**
	 * Returns the number of rejected trees.
	 * @return the number of rejected trees since the process started
	 */
	public long rejections() {
		return this.rejections.get();
	}

	private void handleAnswer(long versionInForce, SettingsResponse answer) {
		switch (answer) {
			case SettingsUnchanged unchanged -> confirm(versionInForce);
			case NewSettings settings -> this.executor.execute(() -> {
				if (!parse(settings.version(), settings.content(), true)) {
					confirm(versionInForce);
				}
			});
		}
	}

	// Every process rejects the same newer version, so the version in force remains the
	// latest valid one.
	private void confirm(long versionInForce) {
		if (versionInForce > 0) {
			this.events.accept(new SettingsConfirmed(versionInForce));
		}
		else {
			this.events.accept(new SettingsUnavailable("no valid version is published"));
		}
	}

	private void handleReadFailure(Throwable error) {
		this.readFailures.incrementAndGet();
		this.events.accept(new SettingsUnavailable(String.valueOf(error.getMessage())));
	}

	private boolean parse(long version, String content, boolean fromPlatform) {
		try {
			Settings settings = this.reader.read(version, content);
			keepContent(version, content);
			this.events.accept(new SettingsReceived(settings, content, fromPlatform));
			return true;
		}
		catch (SettingsException ex) {
			reject(version, fromPlatform, ex);
			return false;
		}
		catch (RuntimeException ex) {
			LOG.error("{}", LogLine.event("settings.parser-failed").with("version", version), ex);
			return false;
		}
	}

	private void keepContent(long version, String content) {
		synchronized (this.contents) {
			this.contents.put(version, content);
			if (this.contents.size() > MAX_KEPT_TREES) {
				this.contents.remove(this.contents.keySet().iterator().next());
			}
		}
	}

	private void reject(long version, boolean fromPlatform, SettingsException ex) {
		if (fromPlatform) {
			this.rejectedVersion.accumulateAndGet(version, Math::max);
		}
		this.rejections.incrementAndGet();
		Map<String, String> fields = new LinkedHashMap<>();
		fields.put("version", String.valueOf(version));
		fields.put("source", fromPlatform ? "platform" : "peer");
		fields.put("errors", ex.errors().stream().map(SettingsError::toString).collect(Collectors.joining("; ")));
		LOG.warn("{}", LogLine.event("settings.rejected").withAll(fields));
		this.audit.accept(new AuditEntry(this.clock.epochMillis(), "settings.rejected", fields));
	}

}
