package org.lovagevale.core.decision;

import org.lovagevale.settings.model.BackendServer;

/**
 * Send a probe to a backend server and report the result as a {@code ProbeEnded} event.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param server the backend server
 * @param timeoutMs the timeout of the probe in milliseconds
 */
public record Probe(BackendServer server, long timeoutMs) implements Decision {
}
