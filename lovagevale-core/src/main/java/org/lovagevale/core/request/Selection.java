package org.lovagevale.core.request;

import org.lovagevale.core.SelectionReason;

/**
 * A backend server chosen for a request.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param server the backend server
 * @param timeoutMs the timeout of the attempt in milliseconds
 * @param reason the reason for the choice
 */
record Selection(TrackedServer server, long timeoutMs, SelectionReason reason) {
}
