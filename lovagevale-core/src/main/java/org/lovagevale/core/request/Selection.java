package org.lovagevale.core.request;

import org.lovagevale.core.SelectionReason;

/**
 * A backend server chosen for a request.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param server the backend server
 * @param timeoutMs the time that the attempt may take in milliseconds
 * @param choice why it was chosen
 */
record Selection(TrackedServer server, long timeoutMs, SelectionReason choice) {
}
