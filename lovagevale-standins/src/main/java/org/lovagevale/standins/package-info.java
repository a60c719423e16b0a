/**
 * The standins module.
 */
@NullMarked
package org.lovagevale.standins;

import org.jspecify.annotations.NullMarked;
