/**
 * Decides when requests that callers send behind unanswered ones are handled.
 */
@NullMarked
package org.lovagevale.core.pipelining;

import org.jspecify.annotations.NullMarked;
