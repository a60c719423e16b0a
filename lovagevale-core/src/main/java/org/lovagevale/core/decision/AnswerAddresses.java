package org.lovagevale.core.decision;

import java.util.List;

import org.lovagevale.core.CallerAddress;
import org.lovagevale.core.RequestId;

/**
 * Answer a caller that asked for addresses.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identifier of the request for addresses
 * @param addresses the addresses, best first
 * @param validForMs how long the caller may cache the addresses, in milliseconds
 * @param settingsVersion the version of the current settings
 */
public record AnswerAddresses(RequestId id, List<CallerAddress> addresses, long validForMs,
		long settingsVersion) implements Decision {
}
