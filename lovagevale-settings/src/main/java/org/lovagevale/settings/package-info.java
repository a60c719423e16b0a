/**
 * Parsing, validation, inheritance and comparison of settings trees.
 */
@NullMarked
package org.lovagevale.settings;

import org.jspecify.annotations.NullMarked;
