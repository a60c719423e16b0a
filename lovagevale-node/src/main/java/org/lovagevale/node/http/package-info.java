/**
 * The HTTP/1.1 server for callers and the HTTP/1.1 client for backend servers.
 */
@NullMarked
package org.lovagevale.node.http;

import org.jspecify.annotations.NullMarked;
