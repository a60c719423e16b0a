/**
 * Decisions during the start of a process.
 */
@NullMarked
package org.lovagevale.core.startup;

import org.jspecify.annotations.NullMarked;
