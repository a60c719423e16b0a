package org.lovagevale.gateway.http;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.LogLine;
import org.lovagevale.core.placing.SlotOutcome;
import org.lovagevale.gateway.GatewayMetrics;
import org.lovagevale.gateway.fleet.SlotGrant;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The two attempts of a hedged request while both are in progress.
 *
 * <p>
 * Invariant: the end of the pair is recorded exactly once. Confined to the event loop.
 */
final class HedgedAttempts {

	private static final Logger LOGGER = LoggerFactory.getLogger(HedgedAttempts.class);

	private final GatewayMetrics metrics;

	private final CallerRequest request;

	private final SendAttempt first;

	private final SendAttempt second;

	private boolean sent;

	HedgedAttempts(GatewayMetrics metrics, CallerRequest request, SendAttempt first, SendAttempt second) {
		this.metrics = metrics;
		this.request = request;
		this.first = first;
		this.second = second;
	}

	boolean contains(SendAttempt attempt) {
		return attempt == this.first || attempt == this.second;
	}

	boolean isSecond(SendAttempt attempt) {
		return attempt == this.second;
	}

	SendAttempt first() {
		return this.first;
	}

	SendAttempt second() {
		return this.second;
	}

	SendAttempt otherThan(SendAttempt attempt) {
		return (attempt == this.first) ? this.second : this.first;
	}

	/**
	 * Records that the request is written to the second server.
	 * @param now the monotonic time in milliseconds
	 */
	void recordSent(long now) {
		this.sent = true;
		this.metrics.countHedge(this.request.service().value(), "sent");
		SlotGrant grant = this.second.grant();
		if (LOGGER.isInfoEnabled() && grant != null) {
			LOGGER.info("{}",
					LogLine.event("request.second-send")
						.with("id", this.request.id())
						.with("server", this.second.server().id())
						.with("first", this.first.server().id())
						.with("firstAgeMs", now - this.first.startedAt())
						.with("connectMs", now - this.second.startedAt())
						.with("dispatcher", grant.dispatcher())
						.with("why", grant.why()));
		}
	}

	/**
	 * Records that one attempt has won, or that both were cancelled.
	 * @param winner the attempt whose response is passed on, {@code null} if there is
	 * none
	 * @param now the monotonic time in milliseconds
	 */
	void recordWinner(@Nullable SendAttempt winner, long now) {
		if (winner != null) {
			recordEnd(isSecond(winner) ? "won" : "lost", now);
		}
		else {
			recordEnd("cancelled", now);
		}
	}

	/**
	 * Records that one attempt failed, so that the other one is the only one.
	 * @param failed the failed attempt
	 * @param outcome its outcome
	 * @param now the monotonic time in milliseconds
	 */
	void recordFailure(SendAttempt failed, SlotOutcome outcome, long now) {
		recordEnd((isSecond(failed) ? "second-" : "first-") + outcome, now);
	}

	private void recordEnd(String result, long now) {
		this.metrics.countHedge(this.request.service().value(), this.sent ? result : "unsent");
		if (LOGGER.isInfoEnabled()) {
			LOGGER.info("{}",
					LogLine.event("request.second-send-ended")
						.with("id", this.request.id())
						.with("result", result)
						.with("sent", this.sent)
						.with("server", this.second.server().id())
						.with("first", this.first.server().id())
						.with("firstMs", now - this.first.startedAt())
						.with("secondMs", now - this.second.startedAt()));
		}
	}

}
