/**
 * The settings in force: immutable values with every default filled in and every
 * reference checked.
 */
@NullMarked
package org.lovagevale.settings.model;

import org.jspecify.annotations.NullMarked;
