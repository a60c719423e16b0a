package org.lovagevale.gateway.fleet;

import org.lovagevale.base.ServerName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.placing.SlotRequest;

/**
 * A slot of a backend server.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param request the question that it answers
 * @param server the server
 * @param dispatcher the VM that gave it
 * @param why the figures that decided, for the log
 */
public record SlotGrant(SlotRequest request, ServerName server, VmName dispatcher, String why) {
}
