/**
 * The audit trail and the recorded decisions of recent requests.
 */
@NullMarked
package org.lovagevale.node.audit;

import org.jspecify.annotations.NullMarked;
