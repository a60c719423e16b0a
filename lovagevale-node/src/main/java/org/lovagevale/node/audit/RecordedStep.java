package org.lovagevale.node.audit;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.SelectionReason;

/**
 * One decision about a request.
 *
 * <p>
 * Contains no path, idempotency key, account or body, since the trail may be read outside
 * the home regions of a request. Immutable and thread-safe.
 *
 * @param epochMillis wall time in milliseconds since the epoch
 * @param decision the kind of decision, for example "dispatch"
 * @param attempt the number of the attempt, 0 if the decision concerns none
 * @param service the service, or null if the decision names none
 * @param server the backend server, or null if the decision names none
 * @param reason the reason of a refusal, or null
 * @param outcome the outcome given with a refusal, or null
 * @param choice the reason why the server was selected, or null
 */
public record RecordedStep(long epochMillis, String decision, int attempt, @Nullable String service,
		@Nullable String server, @Nullable String reason, @Nullable String outcome, @Nullable SelectionReason choice) {
}
