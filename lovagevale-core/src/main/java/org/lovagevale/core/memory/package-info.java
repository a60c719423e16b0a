/**
 * Bounds the bytes that a process holds for its callers.
 */
@NullMarked
package org.lovagevale.core.memory;

import org.jspecify.annotations.NullMarked;
