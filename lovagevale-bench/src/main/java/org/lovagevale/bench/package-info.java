/**
 * The bench module.
 */
@NullMarked
package org.lovagevale.bench;

import org.jspecify.annotations.NullMarked;
