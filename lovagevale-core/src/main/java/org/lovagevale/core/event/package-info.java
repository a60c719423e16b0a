/**
 * Events that an entry process passes to the decision logic.
 */
@NullMarked
package org.lovagevale.core.event;

import org.jspecify.annotations.NullMarked;
