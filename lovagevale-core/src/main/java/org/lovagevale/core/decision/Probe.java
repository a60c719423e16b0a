package org.lovagevale.core.decision;

import org.lovagevale.settings.model.BackendServer;

/**
 * Probe a backend server and report {@code ProbeEnded}.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param server the server
 * @param timeoutMs the longest wait in milliseconds
 */
public record Probe(BackendServer server, long timeoutMs) implements Decision {
}
