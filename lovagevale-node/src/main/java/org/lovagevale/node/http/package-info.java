/**
 * HTTP/1.1 towards callers and backend servers.
 */
@NullMarked
package org.lovagevale.node.http;

import org.jspecify.annotations.NullMarked;
