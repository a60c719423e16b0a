package org.lovagevale.core.decision;

import java.util.List;

import org.lovagevale.core.CallerAddress;
import org.lovagevale.core.RequestId;

/**
 * Answer a question for addresses.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id identifies the question
 * @param addresses the addresses, best first
 * @param validForMs how long the answer may be kept in milliseconds
 * @param settingsVersion the version in force
 */
public record AnswerAddresses(RequestId id, List<CallerAddress> addresses, long validForMs,
		long settingsVersion) implements Decision {
}
