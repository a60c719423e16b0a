/**
 * Log lines of key=value pairs.
 */
@NullMarked
package org.lovagevale.node.log;

import org.jspecify.annotations.NullMarked;
