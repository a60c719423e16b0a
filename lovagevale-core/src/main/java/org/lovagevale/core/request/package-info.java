/**
 * Admission, routing and retries of requests, and the state of requests and backend
 * servers.
 */
@NullMarked
package org.lovagevale.core.request;

import org.jspecify.annotations.NullMarked;
