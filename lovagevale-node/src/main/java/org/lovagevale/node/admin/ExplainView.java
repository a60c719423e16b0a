package org.lovagevale.node.admin;

import java.util.List;

import org.lovagevale.base.VmName;
import org.lovagevale.core.RequestId;
import org.lovagevale.node.audit.RecordedStep;

/**
 * The response to {@code /explain}.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param vm the VM that recorded the decisions
 * @param requestId the request
 * @param steps the decisions about the request in order
 */
record ExplainView(VmName vm, RequestId requestId, List<RecordedStep> steps) {
}
