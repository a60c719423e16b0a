/**
 * Checks across modules.
 */
@NullMarked
package org.lovagevale.checks;

import org.jspecify.annotations.NullMarked;
