/**
 * Logging to standard output with a bounded queue.
 */
@NullMarked
package org.lovagevale.gateway.log;

import org.jspecify.annotations.NullMarked;
