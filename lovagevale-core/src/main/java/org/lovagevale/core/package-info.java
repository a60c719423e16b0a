/**
 * The core module.
 */
@NullMarked
package org.lovagevale.core;

import org.jspecify.annotations.NullMarked;
