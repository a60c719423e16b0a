/**
 * Starting and stopping operating system processes.
 */
@NullMarked
package org.lovagevale.standins.process;

import org.jspecify.annotations.NullMarked;
