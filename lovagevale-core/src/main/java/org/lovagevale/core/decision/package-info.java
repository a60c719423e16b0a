/**
 * What an entry process is told to do.
 */
@NullMarked
package org.lovagevale.core.decision;

import org.jspecify.annotations.NullMarked;
