/**
 * The entry process and its command line.
 */
@NullMarked
package org.lovagevale.node;

import org.jspecify.annotations.NullMarked;
