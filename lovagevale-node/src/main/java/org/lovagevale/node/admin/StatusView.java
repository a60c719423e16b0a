package org.lovagevale.node.admin;

import com.fasterxml.jackson.annotation.JsonUnwrapped;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.Status;

/**
 * The response to {@code /status}.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the VM
 * @param incarnation the incarnation of the process
 * @param ready whether callers are served
 * @param status the status, whose fields are written at the same level as the others
 */
record StatusView(VmName vm, Incarnation incarnation, boolean ready, @JsonUnwrapped Status status) {
}
