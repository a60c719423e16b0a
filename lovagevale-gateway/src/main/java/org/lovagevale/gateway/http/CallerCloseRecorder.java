package org.lovagevale.gateway.http;

import java.util.function.Supplier;

import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.LogLine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Collects what explains the close of a connection of a caller, and reports it once.
 *
 * <p>
 * Invariant: the first close is kept, since those that follow are its consequences.
 * Confined to the event loop.
 */
final class CallerCloseRecorder {

	private static final Logger LOGGER = LoggerFactory.getLogger(CallerCloseRecorder.class);

	private @Nullable CallerClose close;

	/** Number of parts of responses that were not passed to the operating system. */
	private int unwrittenParts;

	/** Number of requests that were read and discarded. */
	private int discardedRequests;

	/** Size of the parts of requests that were read and discarded, in bytes. */
	private long discardedBytes;

	/**
	 * Records the state of the connection at its close, if none was recorded before.
	 * @param state creates the state
	 */
	void recordClose(Supplier<CallerClose> state) {
		if (this.close == null) {
			this.close = state.get();
		}
	}

	void recordUnwrittenPart() {
		this.unwrittenParts++;
	}

	void recordDiscarded(HttpObject part) {
		this.discardedBytes += HeldSize.of(part);
		this.discardedRequests += (part instanceof HttpRequest) ? 1 : 0;
	}

	/**
	 * Writes the log line of the close.
	 * @param lingerMs the time between the last response and the close, in milliseconds
	 * @return the recorded close, {@code null} if there is none
	 */
	@Nullable CallerClose report(long lingerMs) {
		CallerClose known = this.close;
		if (known == null) {
			return null;
		}
		boolean notable = known.isNotable() || this.discardedRequests > 0 || this.unwrittenParts > 0;
		Level level = notable ? Level.INFO : Level.DEBUG;
		if (LOGGER.isEnabledForLevel(level)) {
			LogLine line = known.toLogLine()
				.with("discardedRequests", this.discardedRequests)
				.with("discardedBytes", this.discardedBytes)
				.with("unwrittenParts", this.unwrittenParts)
				.with("lingerMs", lingerMs);
			LOGGER.atLevel(level).log("{}", line);
		}
		return known;
	}

}
