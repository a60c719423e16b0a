/**
 * Placement of requests on backend servers, with queueing and admission control.
 */
@NullMarked
package org.lovagevale.core.placing;

import org.jspecify.annotations.NullMarked;
