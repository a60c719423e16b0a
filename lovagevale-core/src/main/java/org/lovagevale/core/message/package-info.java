/**
 * Messages between entry processes.
 */
@NullMarked
package org.lovagevale.core.message;

import org.jspecify.annotations.NullMarked;
