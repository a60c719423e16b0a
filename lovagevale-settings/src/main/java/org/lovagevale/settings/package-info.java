/**
 * Parser, checks, inheritance and differences of the settings tree.
 */
@NullMarked
package org.lovagevale.settings;

import org.jspecify.annotations.NullMarked;
