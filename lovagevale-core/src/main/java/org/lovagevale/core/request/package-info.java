/**
 * Routing, admission, retries and the states of requests and backend servers.
 */
@NullMarked
package org.lovagevale.core.request;

import org.jspecify.annotations.NullMarked;
