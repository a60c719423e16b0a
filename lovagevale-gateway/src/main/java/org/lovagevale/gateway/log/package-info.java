/**
 * Bounded log output.
 */
@NullMarked
package org.lovagevale.gateway.log;

import org.jspecify.annotations.NullMarked;
