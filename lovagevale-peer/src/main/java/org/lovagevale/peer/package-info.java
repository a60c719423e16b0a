/**
 * The peer module.
 */
@NullMarked
package org.lovagevale.peer;

import org.jspecify.annotations.NullMarked;
