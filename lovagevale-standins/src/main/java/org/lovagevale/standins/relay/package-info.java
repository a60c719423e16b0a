/**
 * A TCP relay that simulates network faults between processes.
 */
@NullMarked
package org.lovagevale.standins.relay;

import org.jspecify.annotations.NullMarked;
