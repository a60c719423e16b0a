/**
 * What an entry process can observe.
 */
@NullMarked
package org.lovagevale.core.event;

import org.jspecify.annotations.NullMarked;
