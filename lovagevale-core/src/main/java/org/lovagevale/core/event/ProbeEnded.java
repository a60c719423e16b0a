package org.lovagevale.core.event;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.ServerName;
import org.lovagevale.core.LoadReport;

/**
 * A probe of a backend server ended.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param server the backend server
 * @param report the load of the server, or null if the probe failed
 */
public record ProbeEnded(ServerName server, @Nullable LoadReport report) implements Event {
}
