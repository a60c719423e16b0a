/**
 * TCP relay that delays, holds and resets connections.
 */
@NullMarked
package org.lovagevale.standins.relay;

import org.jspecify.annotations.NullMarked;
