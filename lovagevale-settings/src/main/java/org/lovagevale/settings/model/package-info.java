/**
 * The effective settings: immutable values with all defaults applied and all references
 * checked.
 */
@NullMarked
package org.lovagevale.settings.model;

import org.jspecify.annotations.NullMarked;
