/**
 * The settings module.
 */
@NullMarked
package org.lovagevale.settings;

import org.jspecify.annotations.NullMarked;
