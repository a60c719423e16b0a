/**
 * Utilities for starting and terminating child processes.
 */
@NullMarked
package org.lovagevale.standins.process;

import org.jspecify.annotations.NullMarked;
