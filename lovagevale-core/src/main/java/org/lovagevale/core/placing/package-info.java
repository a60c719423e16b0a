/**
 * Queueing, rejecting and placing of requests on backend servers.
 */
@NullMarked
package org.lovagevale.core.placing;

import org.jspecify.annotations.NullMarked;
