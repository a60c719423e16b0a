package org.lovagevale.gateway.fleet;

import org.lovagevale.base.ServerName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.placing.SlotRequest;

/**
 * A granted slot, which permits one request to be sent to a backend server.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param request the request for which the slot was granted
 * @param server the backend server
 * @param dispatcher the VM whose dispatcher granted the slot
 * @param why the values on which the decision is based, for the log
 */
public record SlotGrant(SlotRequest request, ServerName server, VmName dispatcher, String why) {
}
