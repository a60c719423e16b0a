/**
 * The ctl module.
 */
@NullMarked
package org.lovagevale.ctl;

import org.jspecify.annotations.NullMarked;
