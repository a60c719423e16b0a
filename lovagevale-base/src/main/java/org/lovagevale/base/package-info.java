/**
 * Types shared by every module: clock, random source and identifiers.
 */
@NullMarked
package org.lovagevale.base;

import org.jspecify.annotations.NullMarked;
