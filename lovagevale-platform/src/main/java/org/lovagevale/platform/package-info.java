/**
 * The platform module.
 */
@NullMarked
package org.lovagevale.platform;

import org.jspecify.annotations.NullMarked;
