/**
 * HTTP connections to callers and backend servers.
 */
@NullMarked
package org.lovagevale.gateway.http;

import org.jspecify.annotations.NullMarked;
